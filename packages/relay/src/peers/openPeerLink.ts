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

/** In a large fleet the pools are told at most this often; hundreds of messages come in a second. */
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
  /** Tells the others that requests came or went: soon while places are scarce. */
  announceChange(isScarce: boolean): void;
  /** Asks hosts, whose addresses may be out of date, for what they know. */
  fetchClusterStateFrom(addresses: readonly string[]): Promise<void>;
  /** Ends what is told to others; the other hosts may still ask until `close`. */
  stop(): void;
  close(): Promise<void>;
}

/** Links this host with the others: what they do, what they have spent, what they know. */
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

  /** Tells the pools what the other hosts do. */
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
      domainSync.receive(message, 'sent');
      return;
    }
    peerTable.record(message, now);
    if (message.kind === 'summary') {
      stateCache.upsertPeer(message);
      quota.recordHostSpending({ ...message, from: message.entryHost, now });
      message.farReports?.forEach((report) => domainSync.receive(report, 'passedOn'));
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
