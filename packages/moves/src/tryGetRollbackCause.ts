import type { RollbackCause, TestStatistics } from './types';

/**
 * The ground on which the evidence reaches `threshold`. For errors both hypotheses, either of which would make the
 * version good, must be given up.
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
