import measureSaturation from './measureSaturation';
import type { DeploymentProfile } from './types';
import type { WorkModel } from './workload/types';

/**
 * Share of a deployment's capacity bound that its engines reach when each is handed the mix without end, deadlines
 * or tiers: how loose the bound is.
 */
export default function getSaturationShare(
  { failureDomains }: DeploymentProfile,
  work: WorkModel,
  seed: number,
): number {
  const generations = failureDomains.flatMap(({ engines }) => engines);
  const shares = new Map(
    [...new Set(generations)].map((generation) => [
      generation,
      measureSaturation(generation, work, seed),
    ]),
  );
  let done = 0;
  let bound = 0;
  generations.forEach((generation) => {
    done += shares.get(generation)! * work.getSpeed(generation);
    bound += work.getSpeed(generation);
  });
  return done / bound;
}
