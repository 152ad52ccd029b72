import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import sumCounts from '../decisions/sumCounts';
import type { HostSummary, PeerTable } from '../types';

/** A summary older than this says nothing of what a host has in flight; summaries come every 100 ms. */
const SUMMARY_LIFE: Milliseconds = 1_000;

interface HeardSummary {
  readonly summary: HostSummary;
  readonly at: Milliseconds;
}

/** Counts whose numeric keys became text on the way. */
function readCounts(
  part: Readonly<Record<string, number>> | undefined,
): readonly (readonly [number, number])[] {
  return Object.entries(part ?? {}).map(([key, count]) => [Number(key), count]);
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
    countInFlight: (now) =>
      sumCounts(listHeard(now).map(({ inFlight }) => Object.entries(inFlight))),
    countByTier: (pool, now) =>
      sumCounts(listHeard(now).map(({ tiers }) => readCounts(tiers[pool]))),
    countWaiting: (pool, now) =>
      sumCounts(listHeard(now).map(({ waiting }) => readCounts(waiting[pool]))),
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
