import type { FailureDomainId, Generation, Milliseconds } from '@rattanreel/core';
import type { AcceptedConfiguration, InForceSummary } from './types';

interface DomainGenerations {
  readonly failureDomain: FailureDomainId;
  readonly age: Milliseconds | undefined;
  readonly generations: readonly { readonly generation: Generation; readonly hosts: number }[];
}

/** On how many hosts an accepted configuration is in force; a host not heard of counts as without it. */
export default function summariseInForce(
  accepted: AcceptedConfiguration,
  heard: readonly DomainGenerations[],
): InForceSummary {
  const domains = accepted.settings.failureDomains.map(({ id }) => {
    const domain = heard.find(({ failureDomain }) => failureDomain === id);
    const having = (domain?.generations ?? []).filter(
      ({ generation }) => generation >= accepted.generation,
    );
    return {
      failureDomain: id,
      hostsInForce: having.reduce((sum, { hosts }) => sum + hosts, 0),
      hostsKnown: accepted.settings.entryHosts.filter((host) => host.failureDomain === id).length,
      age: domain?.age,
    };
  });
  return {
    acceptedGeneration: accepted.generation,
    hostsInForce: domains.reduce((sum, { hostsInForce }) => sum + hostsInForce, 0),
    hostsKnown: accepted.settings.entryHosts.length,
    domains,
  };
}
