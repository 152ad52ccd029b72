import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import getSummaryInterval from './getSummaryInterval';
import listOtherDomains from './listOtherDomains';
import type { MembershipContext, PeriodicTask } from './types';

/**
 * Relays what other failure domains report to the entry hosts of this one, while this host is a
 * delegate.
 */
export default function createDomainRelay(context: MembershipContext): PeriodicTask {
  const { directory, failureDomain, schedule, policy } = context;

  /** Returns the members to which this delegate relays; the other delegate relays to the rest. */
  function listTargets(): readonly EntryHostId[] {
    const delegates = context.delegatesOf(failureDomain).length;
    const index = context.delegateIndex();
    const self = context.self().entryHost;
    return context
      .membersOf(failureDomain)
      .map(({ entryHost }) => entryHost)
      .sort()
      .filter((entryHost, position) => entryHost !== self && position % delegates === index);
  }

  function relayCapacities(now: Milliseconds): void {
    const from = context.self().entryHost;
    listTargets().forEach((entryHost) => {
      const capacities = directory.listRemoteCapacitiesFor(entryHost, now);
      if (capacities.length > 0) {
        context.send(entryHost, { kind: 'roomsRelayed', from, rooms: capacities });
      }
    });
  }

  function relayDomains(now: Milliseconds): void {
    const from = context.self().entryHost;
    const domains = directory.listStatuses(now);
    listTargets().forEach((entryHost) =>
      context.send(entryHost, { kind: 'domainsRelayed', from, domains }),
    );
  }

  return {
    run(now) {
      if (context.delegateIndex() < 0) {
        return;
      }
      const interval = getSummaryInterval(context, listOtherDomains(context));
      if (schedule.isDue('rooms', interval, now)) {
        relayCapacities(now);
      }
      if (schedule.isDue('relay', policy.relayInterval, now)) {
        relayDomains(now);
      }
    },
  };
}
