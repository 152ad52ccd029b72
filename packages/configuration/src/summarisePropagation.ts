import type { FailureDomainId, Generation, Milliseconds } from '@rattanreel/core';
import type { AcceptedConfiguration, PropagationSummary } from './types';

interface DomainGenerations {
  readonly failureDomain: FailureDomainId;
  readonly age: Milliseconds | undefined;
  readonly generations: readonly { readonly generation: Generation; readonly hosts: number }[];
}

/**
 * Counts the hosts on which an accepted configuration is active. A host without a report counts as
 * not having it.
 */
export default function summarisePropagation(
  accepted: AcceptedConfiguration,
  reports: readonly DomainGenerations[],
): PropagationSummary {
  const domains = accepted.settings.failureDomains.map(({ id }) => {
    const domain = reports.find(({ failureDomain }) => failureDomain === id);
    const upToDate = (domain?.generations ?? []).filter(
      ({ generation }) => generation >= accepted.generation,
    );
    return {
      failureDomain: id,
      hostsInForce: upToDate.reduce((sum, { hosts }) => sum + hosts, 0),
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
