import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import listOtherDomains from './listOtherDomains';
import type { DomainView, MembershipContext, MembershipView, OwnRow } from './types';

interface DescribeMembershipOptions {
  readonly context: MembershipContext;
  readonly ownRow: OwnRow;
  readonly joined: boolean;
  readonly now: Milliseconds;
}

/** Returns the membership as its entry host sees it. */
export default function describeMembership(options: DescribeMembershipOptions): MembershipView {
  const { context, ownRow, joined, now } = options;
  const { failureDomain, table } = context;
  const { entryHost, incarnation } = context.self();
  const domains = [failureDomain, ...listOtherDomains(context)];
  return {
    self: { entryHost, incarnation, failureDomain },
    joined,
    replaced: ownRow.isReplaced(),
    members: table.liveRows().map((row) => ({
      entryHost: row.entryHost,
      incarnation: row.incarnation,
      address: row.address,
      state: table.isSuspected(row.entryHost) ? 'suspected' : 'alive',
      leaving: row.leaving,
    })),
    delegates: context.delegatesOf(failureDomain).map((member) => member.entryHost),
    isDelegate: context.delegateIndex() >= 0,
    domains: domains.map((domain) => describeDomain(context, domain, now)),
  };
}

function describeDomain(
  context: MembershipContext,
  failureDomain: FailureDomainId,
  now: Milliseconds,
): DomainView {
  const { directory } = context;
  const status = directory
    .listStatuses(now)
    .find((candidate) => candidate.failureDomain === failureDomain);
  return {
    failureDomain,
    age: status?.age,
    members: context.membersOf(failureDomain),
    delegates: context.delegatesOf(failureDomain).map(({ entryHost }) => entryHost),
    generations: status?.generations ?? [],
    rooms: directory.listCapacities(failureDomain, now),
  };
}
