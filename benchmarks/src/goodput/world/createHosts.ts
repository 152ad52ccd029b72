import type { DeploymentProfile, SimulatedHost } from '../types';

/** Creates the entry hosts of a deployment, all alive. */
export default function createHosts(deployment: DeploymentProfile): readonly SimulatedHost[] {
  return deployment.failureDomains.flatMap(({ id: failureDomain }) =>
    Array.from({ length: deployment.entryHostsPerDomain }, (_, index) => {
      const id = `${failureDomain}-host-${index}`;
      return { id, failureDomain, alive: true, incarnation: `${id}.1` };
    }),
  );
}
