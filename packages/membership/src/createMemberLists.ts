import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import digestOfMembers from './digestOfMembers';
import type { MemberLists, MembershipContext } from './types';

const REQUEST_INTERVAL = 1_000;

/** Lists of other domains' members: asked for only when a digest shows that one has changed. */
export default function createMemberLists(context: MembershipContext): MemberLists {
  const { directory, periodic } = context;

  function request(
    from: EntryHostId,
    domains: readonly FailureDomainId[],
    address: string | undefined,
    now: Milliseconds,
  ): void {
    const self = context.self();
    directory
      .outdated()
      .filter((failureDomain) => domains.includes(failureDomain))
      .filter((failureDomain) => periodic.isDue(`list ${failureDomain}`, REQUEST_INTERVAL, now))
      .forEach((failureDomain) => {
        const names = { from: self.entryHost, fromAddress: self.address, failureDomain };
        context.send(from, { kind: 'domainMembersRequested', ...names }, address);
      });
  }

  return {
    request,
    takeSummary(message, now) {
      directory.summarised(message, now);
      request(message.from, [message.status.failureDomain], message.fromAddress, now);
      if (context.delegateIndex() < 0 && !message.passedOn) {
        // The sender does not know the delegates yet; their own summaries will tell it.
        const passed = { ...message, passedOn: true };
        context
          .delegatesOf(context.failureDomain)
          .forEach(({ entryHost }) => context.send(entryHost, passed));
      }
    },
    answer({ from, fromAddress, failureDomain }) {
      const members = context.membersOf(failureDomain);
      if (members.length === 0) {
        return;
      }
      const digest = digestOfMembers(members);
      const self = context.self().entryHost;
      context.send(
        from,
        { kind: 'domainMembersSent', from: self, failureDomain, digest, members },
        fromAddress,
      );
    },
  };
}
