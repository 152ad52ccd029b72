import type { FailureDomainId } from '@rattanreel/core';
import listOtherDomains from './listOtherDomains';
import type { ChangeReporter, DomainMember, MemberIncarnation, MembershipContext } from './types';

/** Emits `membersChanged` when the members seen differ from those told last. */
export default function createChangeReporter(context: MembershipContext): ChangeReporter {
  const { failureDomain, table } = context;
  let told: readonly (readonly DomainMember[])[] = [];
  let gone: MemberIncarnation[] = [];

  function noteGone(domain: FailureDomainId, members: readonly DomainMember[]): void {
    members.forEach(({ entryHost, incarnation }) =>
      gone.push({ entryHost, incarnation, failureDomain: domain }),
    );
  }

  return {
    noteGone,
    report() {
      table.takeDied().forEach((died) => gone.push({ ...died, failureDomain }));
      const domains = [failureDomain, ...listOtherDomains(context)];
      const lists = domains.map((domain) => context.membersOf(domain));
      const same = lists.length === told.length && lists.every((list, at) => list === told[at]);
      if (same && gone.length === 0) {
        return;
      }
      told = lists;
      const alive = domains.flatMap((domain, at) =>
        (lists[at] ?? []).map(({ entryHost, incarnation }) => ({
          entryHost,
          incarnation,
          failureDomain: domain,
        })),
      );
      const dead = gone;
      gone = [];
      context.emit({ kind: 'membersChanged', alive, dead });
    },
  };
}
