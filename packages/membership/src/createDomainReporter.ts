import type { EntryHostId, FailureDomainId, Generation, Milliseconds } from '@rattanreel/core';
import getRoundInterval from './getRoundInterval';
import listOtherDomains from './listOtherDomains';
import roomsToColumns from './roomsToColumns';
import type { HostReported, MembershipContext, PeriodicPart } from './types';

/** A domain silent for this many rounds is looked for at every host that the settings name. */
const SILENT_ROUNDS = 4;
const DELEGATES = 2;

/**
 * Reports to the own delegates, and as a delegate sums up the domain for the others. Each delegate
 * sends every other round, in turn to the delegates of the other domain.
 */
export default function createDomainReporter(context: MembershipContext): PeriodicPart {
  const { directory, failureDomain, known, periodic, policy } = context;
  let round = 0;
  let reports = 0;
  const toldGenerations = new Map<EntryHostId, Generation>();

  function report(now: Milliseconds): void {
    const self = context.self().entryHost;
    const message: HostReported = {
      kind: 'hostReported',
      from: self,
      generation: known.generation,
      rooms: roomsToColumns(known.rooms),
    };
    directory.reported(message, now);
    reports += 1;
    context.delegatesOf(failureDomain).forEach(({ entryHost }, index) => {
      // In turn, which halves what a delegate receives; a new generation is told to both at once.
      const isTurn = (reports + index) % DELEGATES === 0;
      if (isTurn || toldGenerations.get(entryHost) !== known.generation) {
        toldGenerations.set(entryHost, known.generation);
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
    const silentAfter = interval * SILENT_ROUNDS;
    const delegates = context.delegatesOf(domain).map(({ entryHost }) => entryHost);
    const silent = (directory.ageOf(domain, now) ?? silentAfter) >= silentAfter;
    const anyone = known.entryHosts
      .filter((host) => host.failureDomain === domain)
      .map(({ id }) => id);
    const candidates = silent || delegates.length === 0 ? anyone : delegates;
    return candidates[round % candidates.length];
  }

  function summarise(interval: Milliseconds, now: Milliseconds): void {
    const { entryHost: from, address: fromAddress } = context.self();
    const summary = directory.summarise(context.membersOf(failureDomain), now);
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
    step(now) {
      if (periodic.isDue('report', policy.reportInterval, now)) {
        report(now);
      }
      const interval = getRoundInterval(context, listOtherDomains(context));
      const delegates = context.delegatesOf(failureDomain).length;
      if (
        context.delegateIndex() >= 0 &&
        periodic.isDue('summary', interval * Math.max(1, delegates), now)
      ) {
        summarise(interval, now);
      }
    },
  };
}
