import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import isLate from '../lateness/isLate';
import type { LoopDelay } from '../lateness/types';
import type { PeerAddress } from '../types';
import createCandidateList from './createCandidateList';
import createCandidateProbe from './createCandidateProbe';
import type { SchedulerChoice, SchedulerSelector } from './types';

/** Interval of the reports to the scheduler. */
const REPORT_INTERVAL: Milliseconds = 500;
/**
 * Interval of the reports to a scheduler that sends nothing while requests wait there, so that its
 * loss is noticed within a part of their objectives.
 */
const WAITING_REPORT_INTERVAL: Milliseconds = 150;
/** A scheduler without a configuration or a list of servers for this long is replaced. */
const MAXIMUM_PENDING: Milliseconds = 2_000;
/**
 * Time within which a scheduler answers. A processor quota may hold a process up for nearly 100 ms.
 */
const RESPONSE_TIMEOUT: Milliseconds = 120;
/** Time for which a scheduler that announced its stop is not used. */
const STOP_EXCLUSION: Milliseconds = 20_000;

/** Reason for the change from a scheduler with a high event loop delay. */
const LATE = 'event loop late';

interface SchedulerSelectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly ownName: EntryHostId;
  readonly loopDelay: Pick<LoopDelay, 'get' | 'afterSilence'>;
  readonly sendReport: (host: PeerAddress) => void;
  readonly sendProbe: (host: PeerAddress) => void;
  readonly sendLeave: (host: PeerAddress) => void;
  /** Whether requests of this host wait at the scheduler. */
  readonly hasWaiting: () => boolean;
  /** Called after each change of the choice. */
  readonly onChange: (choice: SchedulerChoice) => void;
}

/**
 * Chooses the host that schedules this host's requests: the first candidate that responds. A silent
 * one is replaced by the next candidate, and takes over again once it answers promptly. Two hosts
 * that choose differently for a while cost efficiency only.
 */
export default function createSchedulerSelector(
  options: SchedulerSelectorOptions,
): SchedulerSelector {
  const { clock, logger, ownName } = options;
  const candidates = createCandidateList(options);
  const probe = createCandidateProbe(options);
  let choice: SchedulerChoice = { kind: 'self' };
  let reportTimer: Timer | undefined;
  let responseTimer: Timer | undefined;
  let lastReportAt = -Infinity;
  let lastHeardAt = -Infinity;
  let isStopped = false;

  function getChosenName(): EntryHostId {
    return choice.kind === 'self' ? ownName : choice.host.entryHost;
  }

  function setChoice(next: SchedulerChoice, reason: string): void {
    const previous = choice;
    choice = next;
    responseTimer?.cancel();
    responseTimer = undefined;
    const scheduler = getChosenName();
    logger.info({ scheduler, state: next.kind, reason }, 'scheduler changed');
    // A candidate that has not responded yet may still adopt the slots of the report sent to it.
    if (previous.kind !== 'self' && scheduler !== previous.host.entryHost) {
      options.sendLeave(previous.host);
    }
    options.onChange(next);
  }

  function expectResponse(): void {
    if (choice.kind !== 'self') {
      const host = getChosenName();
      responseTimer ??= options.loopDelay.afterSilence(RESPONSE_TIMEOUT, () =>
        exclude(host, 'silent'),
      );
    }
  }

  function report(): void {
    if (choice.kind !== 'self') {
      lastReportAt = clock.now();
      options.sendReport(choice.host);
      expectResponse();
    }
  }

  /** Chooses the first candidate that is not excluded, if possible one that is not late. */
  function choose(reason: string): void {
    const host = candidates.tryChoose();
    if (host === undefined || host.entryHost === ownName) {
      if (choice.kind !== 'self') {
        setChoice({ kind: 'self' }, reason);
      }
      return;
    }
    if (getChosenName() !== host.entryHost) {
      setChoice({ kind: 'pending', host, since: clock.now() }, reason);
      report();
    }
  }

  function exclude(host: EntryHostId, reason: string, duration?: Milliseconds): void {
    candidates.exclude(host, reason === LATE ? 'late' : 'lost', duration);
    if (getChosenName() === host) {
      choose(reason);
    }
  }

  /** Probes the best candidate that precedes the scheduler in use. */
  function probeBetter(): void {
    const better = candidates.tryFindBetter(getChosenName());
    if (better?.entryHost === ownName) {
      setChoice({ kind: 'self' }, 'better candidate');
    } else if (better !== undefined) {
      probe.send(better);
    }
  }

  function isReportDue(): boolean {
    const now = clock.now();
    const isQuiet = options.hasWaiting() && now - lastHeardAt >= WAITING_REPORT_INTERVAL;
    return isQuiet || now - lastReportAt >= REPORT_INTERVAL;
  }

  function reportPeriodically(): void {
    if (isStopped) {
      return;
    }
    if (isLate({ loopDelay: options.loopDelay.get() })) {
      exclude(ownName, LATE);
    }
    if (choice.kind === 'pending' && clock.now() - choice.since > MAXIMUM_PENDING) {
      exclude(choice.host.entryHost, 'not serving', MAXIMUM_PENDING);
    }
    if (isReportDue()) {
      report();
    }
    probeBetter();
    reportTimer = clock.after(WAITING_REPORT_INTERVAL, reportPeriodically);
  }

  reportTimer = clock.after(WAITING_REPORT_INTERVAL, reportPeriodically);
  return {
    getChoice: () => choice,
    tryGetScheduler: () => (choice.kind === 'self' ? undefined : choice.host),
    setCandidates(next) {
      candidates.set(next);
      if (
        candidates.getRank(getChosenName()) === Infinity ||
        (choice.kind === 'self' && next[0]?.entryHost !== ownName)
      ) {
        choose('candidates changed');
      }
    },
    recordHeard(host) {
      if (getChosenName() === host) {
        lastHeardAt = clock.now();
        responseTimer?.cancel();
        responseTimer = undefined;
      }
    },
    handleStatus(status) {
      const { entryHost, address, failureDomain, capacity, isServing, isStopping } = status;
      if (isStopping) {
        exclude(entryHost, 'scheduler stops', STOP_EXCLUSION);
        return;
      }
      if (!isServing) {
        return;
      }
      if (isLate(status)) {
        exclude(entryHost, LATE);
      }
      const host = { entryHost, address, failureDomain, capacity };
      if (choice.kind === 'pending' && choice.host.entryHost === entryHost) {
        setChoice({ kind: 'remote', host: choice.host }, 'responded');
      }
      const isPrompt = probe.tryComplete(entryHost);
      if (
        isPrompt &&
        !isLate(status) &&
        candidates.getRank(entryHost) < candidates.getRank(getChosenName())
      ) {
        setChoice({ kind: 'remote', host }, 'better candidate');
        report();
      }
    },
    expectResponse,
    stop() {
      isStopped = true;
      reportTimer?.cancel();
      responseTimer?.cancel();
      if (choice.kind !== 'self') {
        options.sendLeave(choice.host);
      }
    },
  };
}
