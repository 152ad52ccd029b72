import type { Clock, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createHostSummary from '../createHostSummary';
import isLargeFleet from '../decisions/isLargeFleet';
import chooseSummaryRecipients from '../decisions/chooseSummaryRecipients';
import type { SharedQuota } from '../decisions/types';
import type {
  ClusterStateCache,
  HostMessage,
  HostSummary,
  PeerAddress,
  PeerTable,
  Pools,
} from '../types';
import sumCounts from '../decisions/sumCounts';
import createPeerSync from './createPeerSync';
import createPeerReachabilityLog from './createPeerReachabilityLog';
import createDomainSync from './createDomainSync';
import openRelayTransport from './openRelayTransport';

/**
 * Minimum time between two pool updates in a large fleet, where hundreds of messages arrive per
 * second.
 */
const POOL_UPDATE_INTERVAL: Milliseconds = 10;

interface PeerLinkOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Pick<HostSummary, 'entryHost' | 'incarnation' | 'failureDomain' | 'address'>;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly pools: Pools;
  readonly quota: SharedQuota;
}

interface PeerLink {
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Announces to the peers that the requests in flight or queued changed; sooner if capacity is
   * scarce.
   */
  announceChange(isScarce: boolean): void;
  /** Fetches the cluster state from hosts whose addresses may be out of date. */
  fetchClusterStateFrom(addresses: readonly string[]): Promise<void>;
  /** Stops sending to the other hosts; they may still query this host until `close`. */
  stop(): void;
  close(): Promise<void>;
}

/** Connects this host with its peers to share load, spending and cluster state. */
export default async function openPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const { clock, logger, self, stateCache, peerTable, pools, quota } = options;

  let isLarge = false;
  let isUpdateScheduled = false;

  function listSameDomainHosts(): readonly EntryHostId[] {
    return peerTable
      .listReachable(clock.now())
      .filter(({ failureDomain }) => failureDomain === self.failureDomain)
      .map(({ entryHost }) => entryHost);
  }

  /** Updates the pools with the load of the other hosts. */
  function updatePools(): void {
    const now = clock.now();
    const counts = sumCounts([peerTable.countInFlight(now), domainSync.countRemoteInFlight()]);
    pools.forEachQueue((queue, pool) =>
      queue.setPeerLoad(counts, peerTable.countByTier(pool, now), peerTable.countQueued(pool, now)),
    );
  }

  function handleMessage(message: HostMessage): void {
    const now = clock.now();
    if (message.kind === 'domain') {
      domainSync.handleReport(message, 'sent');
      return;
    }
    peerTable.record(message, now);
    if (message.kind === 'summary') {
      stateCache.upsertPeer(message);
      quota.recordHostSpending({ ...message, from: message.entryHost, now });
      message.farReports?.forEach((report) => domainSync.handleReport(report, 'passedOn'));
      peerSync.handleSummary(message);
    }
    if (!isLarge) {
      updatePools();
    } else if (!isUpdateScheduled) {
      isUpdateScheduled = true;
      clock.after(POOL_UPDATE_INTERVAL, () => {
        isUpdateScheduled = false;
        updatePools();
      });
    }
  }

  const transport = await openRelayTransport({
    identity: self,
    listenAddress: self.address,
    onMessage: handleMessage,
    getClusterState: () => stateCache.get(),
  });
  const domainSync = createDomainSync({
    clock,
    transport,
    quota,
    self,
    countDomainInFlight: () =>
      sumCounts([peerTable.countInFlight(clock.now()), pools.countOwnInFlight()]),
    listSameDomainHosts,
  });
  const peerSync = createPeerSync({
    clock,
    logger,
    transport,
    getSummary: () =>
      createHostSummary({
        ...self,
        pools,
        spent: quota.getSpent(),
        farReports: domainSync.listReportsToRelay(),
        versions: stateCache.getVersions(),
      }),
    getVersions: stateCache.getVersions,
    onClusterState: stateCache.merge,
  });

  const reachabilityLog = createPeerReachabilityLog({
    clock,
    logger,
    listReachable: () => peerTable.listReachable(clock.now()).map(({ entryHost }) => entryHost),
  });

  return {
    setPeers(peers) {
      isLarge = isLargeFleet(peers.length);
      quota.setPeers(peers);
      domainSync.setPeers(peers);
      peerSync.setPeers(chooseSummaryRecipients(peers, self.failureDomain));
    },
    announceChange: peerSync.announceChange,
    fetchClusterStateFrom: peerSync.fetchClusterStateFrom,
    stop() {
      peerSync.stop();
      domainSync.stop();
      reachabilityLog.stop();
    },
    close: transport.close,
  };
}
