import type { Arrival, SimulatedHost } from '../types';

/** Chooses an entry host for an arrival; returns undefined when none is alive. */
type Balancer = (arrival: Arrival) => SimulatedHost | undefined;

/**
 * Creates the platform's balancer, which chooses a running entry host of the caller's failure
 * domain or, without one, of any failure domain.
 */
export default function createBalancer(hosts: readonly SimulatedHost[]): Balancer {
  return ({ homeDomain, hostDraw }) => {
    const alive = hosts.filter((host) => host.alive);
    const sameDomainHosts = alive.filter((host) => host.failureDomain === homeDomain);
    const candidates = sameDomainHosts.length > 0 ? sameDomainHosts : alive;
    return candidates[Math.floor(hostDraw * candidates.length)];
  };
}
