import type { FailureDomainId } from '@rattanreel/core';
import listOtherDomains from './listOtherDomains';
import type { ChangeReporter, DomainMember, MemberIncarnation, MembershipContext } from './types';

/** Emits `membersChanged` when the known members differ from those last reported. */
export default function createChangeReporter(context: MembershipContext): ChangeReporter {
  const { failureDomain, table } = context;
  let reportedLists: readonly (readonly DomainMember[])[] = [];
  let deadIncarnations: MemberIncarnation[] = [];

  function recordDead(domain: FailureDomainId, members: readonly DomainMember[]): void {
    members.forEach(({ entryHost, incarnation }) =>
      deadIncarnations.push({ entryHost, incarnation, failureDomain: domain }),
    );
  }

  return {
    recordDead,
    report() {
      table.collectNewlyDead().forEach((died) => deadIncarnations.push({ ...died, failureDomain }));
      const domains = [failureDomain, ...listOtherDomains(context)];
      const lists = domains.map((domain) => context.membersOf(domain));
      const isUnchanged =
        lists.length === reportedLists.length &&
        lists.every((list, at) => list === reportedLists[at]);
      if (isUnchanged && deadIncarnations.length === 0) {
        return;
      }
      reportedLists = lists;
      const alive = domains.flatMap((domain, at) =>
        (lists[at] ?? []).map(({ entryHost, incarnation }) => ({
          entryHost,
          incarnation,
          failureDomain: domain,
        })),
      );
      const dead = deadIncarnations;
      deadIncarnations = [];
      context.emit({ kind: 'membersChanged', alive, dead });
    },
  };
}
