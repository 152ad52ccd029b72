import type { EntryHostId, FailureDomainId, Generation, Milliseconds } from '@rattanreel/core';
import getSummaryInterval from './getSummaryInterval';
import listOtherDomains from './listOtherDomains';
import capacitiesToColumns from './capacitiesToColumns';
import type { HostReported, MembershipContext, PeriodicTask } from './types';

/**
 * After this many rounds without a status, a domain is contacted at every host that the settings
 * name.
 */
const UNREACHABLE_AFTER_ROUNDS = 4;
const DELEGATE_COUNT = 2;

/**
 * Reports to the delegates of this failure domain and, while this host is a delegate, sends
 * summaries of the domain to the others. The delegates take turns: with two of them, each sends
 * every other round. The target rotates among the delegates of the other domain.
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
      // Alternating between the delegates halves what each receives. A new generation is sent to
      // both at once.
      const isTurn = (reportCount + index) % DELEGATE_COUNT === 0;
      if (isTurn || sentGenerations.get(entryHost) !== localState.generation) {
        sentGenerations.set(entryHost, localState.generation);
        context.send(entryHost, message);
      }
    });
  }

  /**
   * Returns the next host to address in another domain: one of its delegates, or any configured
   * host when the domain is unreachable.
   */
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
