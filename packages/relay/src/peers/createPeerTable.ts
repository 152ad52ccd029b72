import type { BackendServerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { HostSummary, PeerTable } from '../types';

/** A summary older than this says nothing of what a host has in flight; summaries come every 100 ms. */
const SUMMARY_LIFE: Milliseconds = 1_000;

interface HeardSummary {
  readonly summary: HostSummary;
  readonly at: Milliseconds;
}

/** Adds counts up by their numeric keys, which became text on the way. */
function sumCounts(
  parts: readonly (Readonly<Record<string, number>> | undefined)[],
): ReadonlyMap<number, number> {
  const sums = new Map<number, number>();
  parts.forEach((part) =>
    Object.entries(part ?? {}).forEach(([key, count]) => {
      sums.set(Number(key), (sums.get(Number(key)) ?? 0) + count);
    }),
  );
  return sums;
}

/** The last summary of each other host. */
export default function createPeerTable(): PeerTable {
  const heard = new Map<EntryHostId, HeardSummary>();

  function listHeard(now: Milliseconds): readonly HostSummary[] {
    return [...heard.values()]
      .filter(({ at }) => now - at < SUMMARY_LIFE)
      .map(({ summary }) => summary);
  }

  return {
    hear(message, now) {
      const { entryHost } = message;
      if (message.kind === 'summary') {
        heard.set(entryHost, { summary: message, at: now });
        return;
      }
      const known = heard.get(entryHost)?.summary;
      if (known !== undefined) {
        const { tiers, waiting } = message;
        const inFlight = { ...known.inFlight, ...message.inFlight };
        heard.set(entryHost, { summary: { ...known, inFlight, tiers, waiting }, at: now });
      }
    },
    countInFlight(now) {
      const counts = new Map<BackendServerId, number>();
      listHeard(now).forEach(({ inFlight }) => {
        Object.entries(inFlight).forEach(([server, count]) => {
          counts.set(server, (counts.get(server) ?? 0) + count);
        });
      });
      return counts;
    },
    countByTier: (pool, now) => sumCounts(listHeard(now).map(({ tiers }) => tiers[pool])),
    countWaiting: (pool, now) => sumCounts(listHeard(now).map(({ waiting }) => waiting[pool])),
    listHeard,
    getAge(now) {
      let hosts = 0;
      let oldest = 0;
      heard.forEach(({ at }) => {
        if (now - at < SUMMARY_LIFE) {
          hosts += 1;
          oldest = Math.max(oldest, now - at);
        }
      });
      return { hosts, oldest: Math.round(oldest) };
    },
  };
}
