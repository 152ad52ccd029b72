import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import getSummaryInterval from './getSummaryInterval';
import listOtherDomains from './listOtherDomains';
import type { MembershipContext, PeriodicTask } from './types';

/** As a delegate, relays what other domains said to the entry hosts of the own one. */
export default function createDomainRelay(context: MembershipContext): PeriodicTask {
  const { directory, failureDomain, schedule, policy } = context;

  /** The members that this delegate relays to; its fellow takes the others. */
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
