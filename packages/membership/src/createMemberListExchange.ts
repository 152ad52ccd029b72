import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import computeMembersDigest from './computeMembersDigest';
import type { MemberListExchange, MembershipContext } from './types';

const REQUEST_INTERVAL_MILLISECONDS = 1_000;

/**
 * Exchanges member lists with other failure domains. A list is requested only when a digest shows
 * that it has changed.
 */
export default function createMemberListExchange(context: MembershipContext): MemberListExchange {
  const { directory, schedule } = context;

  function requestOutdated(
    from: EntryHostId,
    domains: readonly FailureDomainId[],
    address: string | undefined,
    now: Milliseconds,
  ): void {
    const self = context.self();
    directory
      .listOutdatedDomains()
      .filter((failureDomain) => domains.includes(failureDomain))
      .filter((failureDomain) =>
        schedule.isDue(`list ${failureDomain}`, REQUEST_INTERVAL_MILLISECONDS, now),
      )
      .forEach((failureDomain) => {
        const addressing = { from: self.entryHost, fromAddress: self.address, failureDomain };
        context.send(from, { kind: 'domainMembersRequested', ...addressing }, address);
      });
  }

  return {
    requestOutdated,
    handleSummary(message, now) {
      directory.recordSummary(message, now);
      requestOutdated(message.from, [message.status.failureDomain], message.fromAddress, now);
      if (context.delegateIndex() < 0 && !message.passedOn) {
        // The sender does not know the delegates yet; it learns them from their own summaries.
        const forwardedSummary = { ...message, passedOn: true };
        context
          .delegatesOf(context.failureDomain)
          .forEach(({ entryHost }) => context.send(entryHost, forwardedSummary));
      }
    },
    answerRequest({ from, fromAddress, failureDomain }) {
      const members = context.membersOf(failureDomain);
      if (members.length === 0) {
        return;
      }
      const digest = computeMembersDigest(members);
      const self = context.self().entryHost;
      context.send(
        from,
        { kind: 'domainMembersSent', from: self, failureDomain, digest, members },
        fromAddress,
      );
    },
  };
}
