import createPolicy from './createPolicy';
import summarisePolicy from './results/summarisePolicy';
import type {
  Arrival,
  DeploymentProfile,
  MeasuredWindow,
  PolicyName,
  PolicyResult,
  Scenario,
} from './types';
import applyFault from './world/applyFault';
import createWorld from './world/createWorld';

interface PolicyRunOptions {
  readonly policy: PolicyName;
  readonly deployment: DeploymentProfile;
  readonly scenario: Scenario;
  readonly window: MeasuredWindow;
  readonly arrivals: readonly Arrival[];
  readonly seed: number;
}

const STEP_MILLISECONDS = 1_000;

/** Runs the arrivals through one policy in its own simulated world. */
export default function runPolicy(options: PolicyRunOptions): PolicyResult {
  const { deployment, scenario, window, arrivals, seed } = options;
  const simulatedWorld = createWorld({ deployment, seed, reportLag: scenario.reportLag });
  const { world } = simulatedWorld;
  const policy = createPolicy(options.policy, world, seed);
  simulatedWorld.setPolicy(policy);
  policy.start();
  scenario.faults.forEach(({ at, action }) =>
    world.clock.after(at, () => applyFault({ ...simulatedWorld, policy }, action)),
  );
  let next = 0;
  function arriveNext(): void {
    const arrival = arrivals[next];
    next += 1;
    if (arrival !== undefined) {
      world.clock.after(arrival.at - world.clock.now(), () => {
        simulatedWorld.arrive(arrival);
        arriveNext();
      });
    }
  }
  arriveNext();
  while (next <= arrivals.length || simulatedWorld.countOpenRequests() > 0) {
    world.clock.advance(STEP_MILLISECONDS);
  }
  const { records } = simulatedWorld;
  const observations = policy.getObservations();
  return summarisePolicy({
    deployment,
    scenario,
    window,
    records,
    engines: world.engines,
    observations,
  });
}
