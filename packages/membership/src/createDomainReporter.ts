import type { EntryHostId, FailureDomainId, Generation, Milliseconds } from '@rattanreel/core';
import getSummaryInterval from './getSummaryInterval';
import listOtherDomains from './listOtherDomains';
import capacitiesToColumns from './capacitiesToColumns';
import type { HostReported, MembershipContext, PeriodicTask } from './types';

/** A domain silent for this many rounds is looked for at every host that the settings name. */
const UNREACHABLE_AFTER_ROUNDS = 4;
const DELEGATE_COUNT = 2;

/**
 * Reports to the own delegates, and as a delegate sums up the domain for the others. Each delegate
 * sends every other round, in turn to the delegates of the other domain.
 */
export default function createDomainReporter(context: MembershipContext): PeriodicTask {
  const { directory, failureDomain, localState, schedule, policy } = context;
  let round = 0;
  let reportCount = 0;
  const sentGenerations = new Map<EntryHostId, Generation>();

  function report(now: Milliseconds): void {
    const self = context.self().entryHost;
    const message: HostReported = {
      kind: 'hostReported',
      from: self,
      generation: localState.generation,
      rooms: capacitiesToColumns(localState.capacities),
    };
    directory.recordReport(message, now);
    reportCount += 1;
    context.delegatesOf(failureDomain).forEach(({ entryHost }, index) => {
      // In turn, which halves what a delegate receives; a new generation is told to both at once.
      const isTurn = (reportCount + index) % DELEGATE_COUNT === 0;
      if (isTurn || sentGenerations.get(entryHost) !== localState.generation) {
        sentGenerations.set(entryHost, localState.generation);
        context.send(entryHost, message);
      }
    });
  }

  /** The next host to address in another domain: its delegates, or anyone when it has gone silent. */
  function chooseTarget(
    domain: FailureDomainId,
    interval: Milliseconds,
    now: Milliseconds,
  ): EntryHostId | undefined {
    const unreachableAfter = interval * UNREACHABLE_AFTER_ROUNDS;
    const delegates = context.delegatesOf(domain).map(({ entryHost }) => entryHost);
    const isUnreachable =
      (directory.tryGetStatusAge(domain, now) ?? unreachableAfter) >= unreachableAfter;
    const configuredHosts = localState.entryHosts
      .filter((host) => host.failureDomain === domain)
      .map(({ id }) => id);
    const candidates = isUnreachable || delegates.length === 0 ? configuredHosts : delegates;
    return candidates[round % candidates.length];
  }

  function summarise(interval: Milliseconds, now: Milliseconds): void {
    const { entryHost: from, address: fromAddress } = context.self();
    const summary = directory.summariseOwnDomain(context.membersOf(failureDomain), now);
    round += 1;
    listOtherDomains(context).forEach((domain) => {
      const target = chooseTarget(domain, interval, now);
      if (target !== undefined) {
        const message = { from, fromAddress, ...summary, passedOn: false };
        context.send(target, { kind: 'domainSummarised', ...message });
      }
    });
  }

  return {
    run(now) {
      if (schedule.isDue('report', policy.reportInterval, now)) {
        report(now);
      }
      const interval = getSummaryInterval(context, listOtherDomains(context));
      const delegates = context.delegatesOf(failureDomain).length;
      if (
        context.delegateIndex() >= 0 &&
        schedule.isDue('summary', interval * Math.max(1, delegates), now)
      ) {
        summarise(interval, now);
      }
    },
  };
}
