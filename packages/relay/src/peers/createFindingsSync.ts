import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import type chooseSummaryRecipients from '../decisions/chooseSummaryRecipients';
import type { FleetRole, PeerAddress } from '../types';
import type { RelayTransport } from './types';
import type { FindingsReport } from '../findings/types';

/** Minimum time between two reports, and the time that each further recipient adds to it. */
const MINIMUM_INTERVAL: Milliseconds = 100;
const INTERVAL_PER_RECIPIENT: Milliseconds = 6;
/** Time after which a report that has not changed is repeated, for hosts that missed it. */
const REPEAT_INTERVAL: Milliseconds = 1_000;

interface FindingsSyncOptions {
  readonly clock: Clock;
  /** Returns the current report; undefined if there is nothing to tell. */
  readonly tryGetReport: () => FindingsReport | undefined;
  readonly transport: Pick<RelayTransport, 'send'>;
  readonly getRole: () => FleetRole;
  /** Returns the hosts that receive this host's summaries. */
  readonly listRecipients: () => ReturnType<typeof chooseSummaryRecipients>;
  /** Returns the host that schedules this one; undefined if this host does. */
  readonly tryGetScheduler: () => PeerAddress | undefined;
  /** Sends a report to the hosts that this one schedules; returns their number. */
  readonly sendToScheduled: (report: FindingsReport) => number;
}

interface FindingsSync {
  /**
   * Sends a report soon. What was learnt from another host is passed on at once only between failure
   * domains; all others have it from its origin, or get it with the next periodic report.
   */
  announceChange(origin: 'found' | 'learnt'): void;
  stop(): void;
}

/**
 * Tells other hosts what was found about requests and servers: changes at once, all of it periodically. Each host passes
 * on what it has learnt, so a report also reaches hosts that its origin cannot reach.
 */
export default function createFindingsSync(options: FindingsSyncOptions): FindingsSync {
  const { clock } = options;
  let timer: Timer | undefined;
  let isChangeDue = false;
  let lastSentAt = -Infinity;
  let lastRecipients = 0;
  let isStopped = false;

  function schedule(interval: Milliseconds): void {
    timer?.cancel();
    timer = isStopped ? undefined : clock.after(interval, sendReport);
  }

  function listRecipients(): readonly PeerAddress[] {
    const { direct, standby } = options.listRecipients();
    const scheduler = options.tryGetScheduler();
    return [...direct, ...standby, ...(scheduler === undefined ? [] : [scheduler])];
  }

  function sendReport(): void {
    isChangeDue = false;
    const report = options.tryGetReport();
    if (report !== undefined) {
      const recipients = listRecipients();
      recipients.forEach(({ address }) => options.transport.send(address, report));
      lastRecipients = recipients.length + options.sendToScheduled(report);
      lastSentAt = clock.now();
    }
    schedule(REPEAT_INTERVAL);
  }

  schedule(REPEAT_INTERVAL);
  return {
    announceChange(origin) {
      const { isLarge, isGranting } = options.getRole();
      if (!isChangeDue && (origin === 'found' || (isLarge && isGranting))) {
        isChangeDue = true;
        const interval = Math.max(MINIMUM_INTERVAL, lastRecipients * INTERVAL_PER_RECIPIENT);
        schedule(Math.max(lastSentAt + interval - clock.now(), 0));
      }
    },
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
