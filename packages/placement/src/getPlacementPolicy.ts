import type { PlacementPolicy } from './types';

const DEFAULT_POLICY: PlacementPolicy = {
  headroom: 1.2,
  coldPart: 0.25,
  settleTime: 60_000,
  leaseDuration: 15_000,
  longestOrder: 5_000,
  reportLag: 3_000,
  readBackAfter: 2_000,
};

/** The policy with its defaults filled in. */
export default function getPlacementPolicy(
  policy: Partial<PlacementPolicy> | undefined,
): PlacementPolicy {
  return { ...DEFAULT_POLICY, ...policy };
}
