import type { RollbackCause, TestStatistics } from './types';

/**
 * Returns the first cause whose test reaches `threshold`; undefined when none does. Errors require that both hypotheses
 * about failures are rejected, because each alone makes the version acceptable.
 */
export default function tryGetRollbackCause(
  statistics: TestStatistics,
  threshold: number,
): RollbackCause | undefined {
  if (Math.min(statistics.failureRate, statistics.failureRatio) >= threshold) {
    return 'errors';
  }
  if (statistics.firstToken >= threshold) {
    return 'slowFirstToken';
  }
  return statistics.betweenTokens >= threshold ? 'slowBetweenTokens' : undefined;
}
