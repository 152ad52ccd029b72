import type { MovePolicy } from './types';

const DEFAULT_POLICY: MovePolicy = {
  minimumStepTime: 20_000,
  localStepGrace: 15_000,
  reportLifetime: 5_000,
  reportInterval: 1_000,
  evidenceInterval: 10_000,
  settleTime: 3_000,
  evidence: { minimumRequests: 20, minimumCellRequests: 3 },
  regressionTests: {},
};

/** Returns the policy with defaults for missing values. */
export default function getMovePolicy(policy: Partial<MovePolicy> | undefined): MovePolicy {
  return { ...DEFAULT_POLICY, ...policy };
}
