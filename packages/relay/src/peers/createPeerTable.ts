import type {
  BackendServerId,
  EntryHostId,
  Milliseconds,
  PoolId,
  TierRank,
} from '@rattanreel/core';
import type { HostSummary } from '../types';

/** A summary older than this says nothing of what a host has in flight; summaries come every 100 ms. */
const SUMMARY_LIFE: Milliseconds = 1_000;

interface HeardSummary {
  readonly summary: HostSummary;
  readonly at: Milliseconds;
}

export interface PeerTable {
  /** False when a later life of the host has been heard already. */
  hear(summary: HostSummary, now: Milliseconds): void;
  /** Requests that the other hosts have in flight, by backend server. */
  countInFlight(now: Milliseconds): ReadonlyMap<BackendServerId, number>;
  /** The same by pool and route tier. */
  countByTier(pool: PoolId, now: Milliseconds): ReadonlyMap<TierRank, number>;
  /** Hosts heard lately. */
  listHeard(now: Milliseconds): readonly HostSummary[];
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
    hear(summary, now) {
      heard.set(summary.entryHost, { summary, at: now });
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
    countByTier(pool, now) {
      const counts = new Map<TierRank, number>();
      listHeard(now).forEach(({ tiers }) => {
        Object.entries(tiers[pool] ?? {}).forEach(([tier, count]) => {
          counts.set(Number(tier), (counts.get(Number(tier)) ?? 0) + count);
        });
      });
      return counts;
    },
    listHeard,
  };
}
