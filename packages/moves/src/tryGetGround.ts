import type { BadnessGround, UnitWealth } from './types';

/**
 * The ground on which the evidence reaches `threshold`. For errors both hypotheses, either of which would make the
 * version good, must be given up.
 */
export default function tryGetGround(
  evidence: UnitWealth,
  threshold: number,
): BadnessGround | undefined {
  if (Math.min(evidence.failureRate, evidence.failureRatio) >= threshold) {
    return 'errors';
  }
  if (evidence.firstToken >= threshold) {
    return 'slowFirstToken';
  }
  return evidence.betweenTokens >= threshold ? 'slowBetweenTokens' : undefined;
}
