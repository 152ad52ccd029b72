import type { BenchmarkArguments } from '../types';
import getDeployments from './deployment/getDeployments';
import getMeasuredWindow from './getMeasuredWindow';
import getSaturationShare from './getSaturationShare';
import runScenario from './runScenario';
import getScenarios from './scenarios/getScenarios';
import createWorkModel from './workload/createWorkModel';

/**
 * Compares the goodput by tier of the product and of three baselines over the same arrivals, in
 * virtual time.
 */
export default async function run({ seed, quick }: BenchmarkArguments): Promise<unknown> {
  const window = getMeasuredWindow(quick);
  const work = createWorkModel();
  const deployments = quick ? getDeployments().slice(-1) : getDeployments();
  const scenarios = deployments.flatMap((deployment) =>
    getScenarios(window).map((scenario) =>
      runScenario({ deployment, scenario, window, seed, work }),
    ),
  );
  const saturation = deployments.map((deployment) => ({
    deployment: deployment.name,
    shareOfCapacityBound: getSaturationShare(deployment, work, seed),
  }));
  return { seed, quick, saturation, scenarios };
}
