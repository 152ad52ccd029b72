import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import sumCounts from '../decisions/sumCounts';
import WAITING_TIME_TO_LIVE from '../fairness/waitingTimeToLive';
import type { HostSummary, PeerTable, ShareKey } from '../types';

/**
 * A host without a message for this long counts as unreachable; its summary no longer shows what it
 * has in flight and is ignored. Hosts send a message at least every 200 ms.
 */
const SUMMARY_TTL: Milliseconds = 1_000;

interface ReceivedSummary {
  readonly summary: HostSummary;
  readonly receivedAt: Milliseconds;
}

/** Parses counts whose numeric keys were serialized as strings. */
function parseCounts(
  part: Readonly<Record<string, number>> | undefined,
): readonly (readonly [number, number])[] {
  return Object.entries(part ?? {}).map(([key, count]) => [Number(key), count]);
}

/** Holds the last summary of each peer. */
export default function createPeerTable(): PeerTable {
  const receivedByHost = new Map<EntryHostId, ReceivedSummary>();

  function listReachable(now: Milliseconds): readonly HostSummary[] {
    return [...receivedByHost.values()]
      .filter(({ receivedAt }) => now - receivedAt < SUMMARY_TTL)
      .map(({ summary }) => summary);
  }

  return {
    record(message, now) {
      const { entryHost } = message;
      const received = receivedByHost.get(entryHost);
      const isNew = received === undefined || now - received.receivedAt >= SUMMARY_TTL;
      if (message.kind === 'summary') {
        receivedByHost.set(entryHost, { summary: message, receivedAt: now });
        return isNew;
      }
      const known = received?.summary;
      if (known !== undefined) {
        const { tiers, waiting, customers } = message;
        const inFlight = { ...known.inFlight, ...message.inFlight };
        receivedByHost.set(entryHost, {
          summary: { ...known, inFlight, tiers, waiting, customers },
          receivedAt: now,
        });
      }
      return isNew && known !== undefined;
    },
    countInFlight: (now) =>
      sumCounts(listReachable(now).map(({ inFlight }) => Object.entries(inFlight))),
    countByTier: (pool, now) =>
      sumCounts(listReachable(now).map(({ tiers }) => parseCounts(tiers[pool]))),
    countQueued: (pool, now) =>
      sumCounts(listReachable(now).map(({ waiting }) => parseCounts(waiting[pool]))),
    sumCustomerUse(pool, now) {
      const sum = (
        part: 'largest' | 'waiting',
        timeToLive: Milliseconds,
      ): ReadonlyMap<ShareKey, number> =>
        sumCounts(
          [...receivedByHost.values()]
            .filter(({ receivedAt }) => now - receivedAt < timeToLive)
            .map(({ summary: { customers } }) => customers?.[pool]?.[part] ?? {})
            .map((counts) => Object.entries(counts) as [ShareKey, number][]),
        );
      return { inUse: sum('largest', SUMMARY_TTL), waiting: sum('waiting', WAITING_TIME_TO_LIVE) };
    },
    listReachable,
    getFreshness(now) {
      let hosts = 0;
      let oldest = 0;
      receivedByHost.forEach(({ receivedAt }) => {
        if (now - receivedAt < SUMMARY_TTL) {
          hosts += 1;
          oldest = Math.max(oldest, now - receivedAt);
        }
      });
      return { hosts, oldest: Math.round(oldest) };
    },
  };
}
