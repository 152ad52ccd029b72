import measureSaturation from './measureSaturation';
import type { DeploymentProfile } from './types';
import type { WorkModel } from './workload/types';

/**
 * Returns the share of a deployment's capacity bound that its engines reach when each gets an
 * endless supply of requests of the mix, without deadlines or tiers. It shows how loose the bound
 * is.
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
