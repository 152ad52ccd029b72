import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import selectChangedSpeeds from '../speed/selectChangedSpeeds';
import type chooseSummaryRecipients from '../decisions/chooseSummaryRecipients';
import type { HostChange, HostSummary, UsageReport } from '../types';
import type { RelayTransport } from './types';

/** Time between two complete summaries. */
const SUMMARY_INTERVAL: Milliseconds = 200;
/** Minimum time between two messages after a change: while capacity is scarce, and otherwise. */
const SCARCE_INTERVAL: Milliseconds = 20;
const CHANGE_INTERVAL: Milliseconds = 100;
/**
 * With more recipients, messages are sent less often, so that sending takes only a few percent of a
 * core.
 */
const INTERVAL_PER_RECIPIENT: Milliseconds = 4;

interface PeerSyncOptions {
  readonly clock: Clock;
  readonly transport: Pick<RelayTransport, 'send'>;
  readonly getSummary: () => HostSummary;
  /** Returns the usage to send with a complete summary; undefined if none is due. */
  readonly tryGetUsage: () => UsageReport | undefined;
  readonly listRecipients: () => ReturnType<typeof chooseSummaryRecipients>;
}

interface PeerSync {
  /**
   * Announces to the peers that the requests in flight or queued changed; sooner if capacity is
   * scarce.
   */
  announceChange(isScarce: boolean): void;
  stop(): void;
}

/** Sends this host's summaries and changes to its peers. */
export default function createPeerSync(options: PeerSyncOptions): PeerSync {
  const { clock, transport } = options;
  let recipients = options.listRecipients();
  let timer: Timer | undefined;
  let lastSummary: HostSummary | undefined;
  let lastSentAt = -Infinity;
  let lastSummaryAt = -Infinity;
  let nextSendAt = Infinity;
  let isStopped = false;

  function getInterval(shortest: Milliseconds): Milliseconds {
    return Math.max(shortest, recipients.direct.length * INTERVAL_PER_RECIPIENT);
  }

  function scheduleSend(interval: Milliseconds): void {
    timer?.cancel();
    nextSendAt = clock.now() + interval;
    timer = isStopped ? undefined : clock.after(interval, sendUpdate);
  }

  /** Returns the changes since the last message; undefined if a complete summary is due. */
  function tryGetChange(summary: HostSummary): HostChange | undefined {
    if (lastSummary === undefined || clock.now() - lastSummaryAt >= getInterval(SUMMARY_INTERVAL)) {
      return undefined;
    }
    const { entryHost, tiers, waiting, loans, customers } = summary;
    const before = lastSummary.inFlight;
    const ids = new Set([...Object.keys(before), ...Object.keys(summary.inFlight)]);
    const changed = [...ids].filter((id) => before[id] !== summary.inFlight[id]);
    const inFlight = Object.fromEntries(changed.map((id) => [id, summary.inFlight[id] ?? 0]));
    const speeds = selectChangedSpeeds(lastSummary.speeds, summary.speeds);
    return { kind: 'change', entryHost, inFlight, tiers, waiting, speeds, loans, customers };
  }

  function sendUpdate(): void {
    recipients = options.listRecipients();
    const { direct, standby } = recipients;
    if (direct.length + standby.length > 0) {
      const summary = options.getSummary();
      const change = tryGetChange(summary);
      const message = change ?? { ...summary, usage: options.tryGetUsage() };
      direct.forEach(({ address }) => transport.send(address, message));
      if (change === undefined) {
        standby.forEach(({ address }) => transport.send(address, message));
      }
      lastSummary = summary;
      lastSummaryAt = change === undefined ? clock.now() : lastSummaryAt;
    }
    lastSentAt = clock.now();
    scheduleSend(getInterval(SUMMARY_INTERVAL));
  }

  scheduleSend(SUMMARY_INTERVAL);
  return {
    announceChange(isScarce) {
      const interval = getInterval(isScarce ? SCARCE_INTERVAL : CHANGE_INTERVAL);
      const earliestSendAt = Math.max(lastSentAt + interval, clock.now());
      if (earliestSendAt < nextSendAt) {
        scheduleSend(earliestSendAt - clock.now());
      }
    },
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
