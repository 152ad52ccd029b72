import type { BenchmarkArguments } from '../types';
import measureMemberTable from './measureMemberTable';
import measurePropagation from './measurePropagation';
import type { ConfigurationBenchmarkResult, DeploymentSize, PropagationResult } from './types';

const CURRENT_TARGET_SECONDS = 5;
const FUTURE_TARGET_SECONDS = 7;

interface PropagationCase {
  readonly size: DeploymentSize;
  readonly targetSeconds: number;
  readonly changes: number;
}

const CASES: readonly PropagationCase[] = [
  {
    size: { domains: 4, hostsPerDomain: 2, models: 3, engines: 16, customers: 5 },
    targetSeconds: CURRENT_TARGET_SECONDS,
    changes: 20,
  },
  {
    size: { domains: 6, hostsPerDomain: 15, models: 12, engines: 150, customers: 185 },
    targetSeconds: CURRENT_TARGET_SECONDS,
    changes: 10,
  },
  {
    size: { domains: 12, hostsPerDomain: 30, models: 37, engines: 600, customers: 740 },
    targetSeconds: FUTURE_TARGET_SECONDS,
    changes: 10,
  },
];

/**
 * Measures the propagation of configurations, the calls of the store, the traffic between hosts and
 * the size of the member table.
 */
export default async function run(
  options: BenchmarkArguments,
): Promise<ConfigurationBenchmarkResult> {
  const spread: PropagationResult[] = [];
  for (const { size, targetSeconds, changes } of options.quick ? CASES.slice(0, 1) : CASES) {
    spread.push(await measurePropagation({ size, targetSeconds, changes, seed: options.seed }));
  }
  return { seed: options.seed, spread, memberTableBytes: measureMemberTable() };
}
