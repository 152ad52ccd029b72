import getCapacityBound from './results/getCapacityBound';
import getTargets from './results/getTargets';
import runPolicy from './runPolicy';
import type {
  DeploymentProfile,
  MeasuredWindow,
  PolicyName,
  Scenario,
  ScenarioResult,
} from './types';
import createArrivals from './workload/createArrivals';
import type { WorkModel } from './workload/types';

interface ScenarioRunOptions {
  readonly deployment: DeploymentProfile;
  readonly scenario: Scenario;
  readonly window: MeasuredWindow;
  readonly seed: number;
  readonly work: WorkModel;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Runs the same arrivals through every policy. */
export default function runScenario(options: ScenarioRunOptions): ScenarioResult {
  const { deployment, scenario, window, seed, work } = options;
  const span = window.to - window.from;
  const fullCapacity = getCapacityBound({ deployment, work, window, faults: [] });
  const fullRate = (fullCapacity / span / work.meanWork) * MILLISECONDS_PER_SECOND;
  const arrivals = createArrivals({ deployment, scenario, window, seed, work, fullRate });
  const run = (policy: PolicyName) =>
    runPolicy({ policy, deployment, scenario, window, arrivals, seed });
  const policies = {
    rattanreel: run('rattanreel'),
    roundRobin: run('roundRobin'),
    leastReported: run('leastReported'),
    leastInFlight: run('leastInFlight'),
  };
  const { faults } = scenario;
  const capacityBound = getCapacityBound({ deployment, work, window, faults });
  return {
    name: scenario.name,
    deployment: deployment.name,
    policies,
    capacityBound,
    targets: getTargets({ scenario: scenario.name, policies, capacityBound }),
  };
}
