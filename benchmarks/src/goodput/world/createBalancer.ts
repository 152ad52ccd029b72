import type { Arrival, SimulatedHost } from '../types';

/** Finds an entry host for an arrival; undefined when none is alive. */
type Balancer = (arrival: Arrival) => SimulatedHost | undefined;

/** The platform's balancer: a living entry host of the caller's own failure domain, or else of any. */
export default function createBalancer(hosts: readonly SimulatedHost[]): Balancer {
  return ({ homeDomain, hostDraw }) => {
    const alive = hosts.filter((host) => host.alive);
    const sameDomainHosts = alive.filter((host) => host.failureDomain === homeDomain);
    const candidates = sameDomainHosts.length > 0 ? sameDomainHosts : alive;
    return candidates[Math.floor(hostDraw * candidates.length)];
  };
}
