import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import getRoundInterval from './getRoundInterval';
import listOtherDomains from './listOtherDomains';
import type { MembershipContext, PeriodicPart } from './types';

/** As a delegate, relays what other domains said to the entry hosts of the own one. */
export default function createDomainRelay(context: MembershipContext): PeriodicPart {
  const { directory, failureDomain, periodic, policy } = context;

  /** The members that this delegate relays to; its fellow takes the others. */
  function targets(): readonly EntryHostId[] {
    const delegates = context.delegatesOf(failureDomain).length;
    const index = context.delegateIndex();
    const self = context.self().entryHost;
    return context
      .membersOf(failureDomain)
      .map(({ entryHost }) => entryHost)
      .sort()
      .filter((entryHost, position) => entryHost !== self && position % delegates === index);
  }

  function relayRooms(now: Milliseconds): void {
    const from = context.self().entryHost;
    targets().forEach((entryHost) => {
      const rooms = directory.neighboursFor(entryHost, now);
      if (rooms.length > 0) {
        context.send(entryHost, { kind: 'roomsRelayed', from, rooms });
      }
    });
  }

  function relayDomains(now: Milliseconds): void {
    const from = context.self().entryHost;
    const domains = directory.statuses(now);
    targets().forEach((entryHost) =>
      context.send(entryHost, { kind: 'domainsRelayed', from, domains }),
    );
  }

  return {
    step(now) {
      if (context.delegateIndex() < 0) {
        return;
      }
      const interval = getRoundInterval(context, listOtherDomains(context));
      if (periodic.isDue('rooms', interval, now)) {
        relayRooms(now);
      }
      if (periodic.isDue('relay', policy.relayInterval, now)) {
        relayDomains(now);
      }
    },
  };
}
