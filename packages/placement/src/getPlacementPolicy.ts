import type { PlacementPolicy } from './types';

const DEFAULT_POLICY: PlacementPolicy = {
  headroomFactor: 1.2,
  coldThroughputFactor: 0.25,
  minimumLoadInterval: 60_000,
  leaseDuration: 15_000,
  maximumOrderTime: 5_000,
  maximumReportDelay: 3_000,
  readBackDelay: 2_000,
};

/** Returns the policy with defaults for missing values. */
export default function getPlacementPolicy(
  policy: Partial<PlacementPolicy> | undefined,
): PlacementPolicy {
  return { ...DEFAULT_POLICY, ...policy };
}
