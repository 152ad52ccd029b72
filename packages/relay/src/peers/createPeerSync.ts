import type { Clock, EntryHostId, Milliseconds, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type {
  ClusterState,
  ClusterStateVersions,
  HostChange,
  HostSummary,
  PeerAddress,
} from '../types';
import isLargeFleet from '../decisions/isLargeFleet';
import type { RelayTransport } from './types';

/** Time between two complete summaries. */
const SUMMARY_INTERVAL: Milliseconds = 200;
/** Minimum time between two messages after a change: while capacity is scarce, and otherwise. */
const SCARCE_INTERVAL: Milliseconds = 20;
const CHANGE_INTERVAL: Milliseconds = 100;
/**
 * With more peers, messages are sent less often, so that sending takes only a few percent of a
 * core.
 */
const INTERVAL_PER_PEER: Milliseconds = 4;
/**
 * The same for a host with more recipients than a small fleet has peers, since it has the least
 * processor time to spare.
 */
const LARGE_FLEET_INTERVAL_PER_PEER: Milliseconds = 8;
/** Minimum time between two fetches of a peer's cluster state. */
const FETCH_INTERVAL: Milliseconds = 200;
/** Time for which a host waits for the store to deliver a state that a peer already has. */
const STALE_STATE_GRACE_PERIOD: Milliseconds = 250;
const FETCH_TIMEOUT: Milliseconds = 700;

interface PeerSyncOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: RelayTransport;
  readonly getSummary: () => HostSummary;
  readonly getVersions: () => ClusterStateVersions;
  readonly onClusterState: (state: ClusterState) => void;
}

interface PeerSync {
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Announces to the peers that the requests in flight or queued changed; sooner if capacity is
   * scarce.
   */
  announceChange(isScarce: boolean): void;
  /** Compares a peer's versions with this host's, and fetches its state if it stays newer. */
  handleSummary(summary: HostSummary): void;
  /** Fetches the cluster state from hosts whose addresses may be out of date. */
  fetchClusterStateFrom(addresses: readonly string[]): Promise<void>;
  stop(): void;
}

function isNewer(summary: ClusterStateVersions, own: ClusterStateVersions): boolean {
  return (
    summary.configurationVersion > own.configurationVersion ||
    summary.serversVersion > own.serversVersion ||
    summary.evacuatedVersion > own.evacuatedVersion
  );
}

/** Sends this host's summaries and changes to its peers, and fetches state that it has missed. */
export default function createPeerSync(options: PeerSyncOptions): PeerSync {
  const { clock, logger, transport } = options;
  let peers: readonly PeerAddress[] = [];
  let timer: Timer | undefined;
  const staleSince = new Map<EntryHostId, Milliseconds>();
  let lastFetchedAt = -Infinity;
  let lastSummary: HostSummary | undefined;
  let lastSentAt = -Infinity;
  let lastSummaryAt = -Infinity;
  let nextSendAt = Infinity;
  let isStopped = false;

  function getInterval(shortest: Milliseconds): Milliseconds {
    const perPeer = isLargeFleet(peers.length) ? LARGE_FLEET_INTERVAL_PER_PEER : INTERVAL_PER_PEER;
    return Math.max(shortest, peers.length * perPeer);
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
    const { entryHost, tiers, waiting } = summary;
    const before = lastSummary.inFlight;
    const ids = new Set([...Object.keys(before), ...Object.keys(summary.inFlight)]);
    const changed = [...ids].filter((id) => before[id] !== summary.inFlight[id]);
    const inFlight = Object.fromEntries(changed.map((id) => [id, summary.inFlight[id] ?? 0]));
    return { kind: 'change', entryHost, inFlight, tiers, waiting };
  }

  function sendUpdate(): void {
    const summary = options.getSummary();
    const change = tryGetChange(summary);
    peers.forEach(({ address }) => transport.send(address, change ?? summary));
    lastSummary = summary;
    lastSentAt = clock.now();
    lastSummaryAt = change === undefined ? lastSentAt : lastSummaryAt;
    scheduleSend(getInterval(SUMMARY_INTERVAL));
  }

  async function fetchClusterState(address: string, host: EntryHostId | undefined): Promise<void> {
    const result = await transport.ask(address, { kind: 'beliefs' }, FETCH_TIMEOUT);
    if (result.kind === 'ok') {
      options.onClusterState(result.value);
    } else {
      logger.warn({ host, address, error: result.error }, 'cannot fetch cluster state from host');
    }
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
    setPeers(next) {
      peers = next;
    },
    handleSummary(summary) {
      const now = clock.now();
      if (!isNewer(summary, options.getVersions())) {
        staleSince.delete(summary.entryHost);
        return;
      }
      const since = staleSince.get(summary.entryHost) ?? now;
      staleSince.set(summary.entryHost, since);
      if (now - since >= STALE_STATE_GRACE_PERIOD && now - lastFetchedAt > FETCH_INTERVAL) {
        lastFetchedAt = now;
        void fetchClusterState(summary.address, summary.entryHost);
      }
    },
    async fetchClusterStateFrom(addresses) {
      await Promise.all(addresses.map((address) => fetchClusterState(address, undefined)));
    },
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
