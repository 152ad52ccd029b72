import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { ClusterState, ClusterStateVersions } from '../types';
import type { RelayTransport } from './types';

/** Minimum time between two fetches of a peer's cluster state. */
const FETCH_INTERVAL: Milliseconds = 200;
/** The same when only the list of servers changed, for a host that does not choose servers. */
const SERVERS_FETCH_INTERVAL: Milliseconds = 1_000;
/**
 * Time for which a host that watches the store waits for it to deliver a state that a peer already
 * has.
 */
const STALE_STATE_GRACE_PERIOD: Milliseconds = 250;
const FETCH_TIMEOUT: Milliseconds = 700;

interface StateFetcherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: Pick<RelayTransport, 'ask'>;
  readonly getVersions: () => ClusterStateVersions;
  readonly onClusterState: (state: ClusterState) => void;
  /** Whether this host watches the store itself. */
  readonly isWatchingStore: () => boolean;
  /** Whether this host chooses the servers of requests. */
  readonly isGranting: () => boolean;
}

interface PeerVersions extends ClusterStateVersions {
  readonly entryHost: EntryHostId;
  readonly address: string;
}

interface StateFetcher {
  /** Compares a peer's versions with this host's, and fetches its state if it stays newer. */
  handleVersions(peer: PeerVersions): void;
  /** Fetches the cluster state from hosts whose addresses may be out of date. */
  fetchFrom(addresses: readonly string[]): Promise<void>;
}

function hasNewServers(peer: ClusterStateVersions, own: ClusterStateVersions): boolean {
  return peer.serversVersion > own.serversVersion;
}

function hasOtherNews(peer: ClusterStateVersions, own: ClusterStateVersions): boolean {
  return (
    peer.configurationVersion > own.configurationVersion ||
    peer.evacuatedVersion > own.evacuatedVersion ||
    peer.rosterVersion > own.rosterVersion ||
    (peer.rolloutsVersion ?? -1) > (own.rolloutsVersion ?? -1)
  );
}

/** Fetches from peers the cluster state that this host has missed. */
export default function createStateFetcher(options: StateFetcherOptions): StateFetcher {
  const { clock, logger } = options;
  const staleSince = new Map<EntryHostId, Milliseconds>();
  let lastFetchedAt = -Infinity;

  async function fetchClusterState(address: string, host: EntryHostId | undefined): Promise<void> {
    const query = { kind: 'beliefs' as const, ...options.getVersions() };
    const result = await options.transport.ask(address, query, FETCH_TIMEOUT);
    if (result.kind === 'ok') {
      options.onClusterState(result.value);
    } else {
      logger.warn({ host, address, error: result.error }, 'cannot fetch cluster state from host');
    }
  }

  return {
    handleVersions(peer) {
      const now = clock.now();
      const own = options.getVersions();
      const isServersOnly = !hasOtherNews(peer, own);
      if (isServersOnly && !hasNewServers(peer, own)) {
        staleSince.delete(peer.entryHost);
        return;
      }
      const since = staleSince.get(peer.entryHost) ?? now;
      staleSince.set(peer.entryHost, since);
      const gracePeriod = options.isWatchingStore() ? STALE_STATE_GRACE_PERIOD : 0;
      const interval =
        isServersOnly && own.serversVersion >= 0 && !options.isGranting()
          ? SERVERS_FETCH_INTERVAL
          : FETCH_INTERVAL;
      if (now - since >= gracePeriod && now - lastFetchedAt > interval) {
        lastFetchedAt = now;
        void fetchClusterState(peer.address, peer.entryHost);
      }
    },
    async fetchFrom(addresses) {
      await Promise.all(addresses.map((address) => fetchClusterState(address, undefined)));
    },
  };
}
