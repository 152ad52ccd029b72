import type { Clock, EntryHostId } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { Respond, SchedulerRequest, SchedulerResponse, Sender } from '../admission/types';
import listDomainCandidates from '../admission/listDomainCandidates';
import createHostSummary from '../createHostSummary';
import chooseSummaryRecipients from '../decisions/chooseSummaryRecipients';
import type { SharedQuota } from '../decisions/types';
import type {
  ClusterStateCache,
  ClusterStateVersions,
  FleetRole,
  HostChange,
  HostSummary,
  PeerAddress,
  PeerTable,
  UsageReport,
} from '../types';
import type { LoopDelay } from '../lateness/types';
import createPeerReachabilityLog from './createPeerReachabilityLog';
import createPoolUpdate from './createPoolUpdate';
import createPeerSync from './createPeerSync';
import createFindingsSync from './createFindingsSync';
import createStateFetcher from './createStateFetcher';
import listLatePeers from './listLatePeers';
import listLikelyPeers from './listLikelyPeers';
import type { OpenTransport, RelayTransport, RelayTransportOptions, HostMessage } from './types';
import type { FindingsReport, Findings } from '../findings/types';
import type { Pools } from '../pools/types';

/**
 * Candidates of each failure domain that receive summaries although nothing is heard from them:
 * the scheduler and the host that would replace it.
 */
const CANDIDATES_PER_DOMAIN = 2;

interface PeerLinkOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly openTransport: OpenTransport;
  readonly self: PeerAddress & Pick<HostSummary, 'incarnation'>;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly pools: Pools;
  readonly quota: SharedQuota;
  readonly getRole: () => FleetRole;
  readonly isWatchingStore: () => boolean;
  readonly loopDelay: Pick<LoopDelay, 'get'>;
  readonly onSchedulerRequest: (
    sender: Sender,
    message: SchedulerRequest,
    respond: Respond,
  ) => void;
  readonly onSchedulerResponse: (sender: Sender, message: SchedulerResponse) => void;
  readonly findings: Findings;
  /** Returns the host that schedules this one; undefined if this host does. */
  readonly tryGetScheduler: () => PeerAddress | undefined;
  /** Sends what was found to the hosts that this one schedules; returns their number. */
  readonly sendToScheduled: (report: FindingsReport) => number;
  /** Called after a message changed which hosts are reachable. */
  readonly onReachableChange: () => void;
  /** Begins a task of a peer; returns the function that cancels it. */
  readonly onTask: RelayTransportOptions['onTask'];
  /** Returns the usage to send with a complete summary; undefined if none is due. */
  readonly tryGetUsage: () => UsageReport | undefined;
  /** Called with every message. */
  readonly onMessage: (sender: Sender, message: HostMessage) => void;
}

interface PeerLink {
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Announces to the peers that the requests in flight or queued changed; sooner if capacity is
   * scarce.
   */
  announceChange(isScarce: boolean): void;
  /** Announces what this host found out, or learnt from another one. */
  announceFindings(origin: 'found' | 'learnt'): void;
  send(host: PeerAddress, message: HostMessage): void;
  /** Lets a peer perform a task. */
  readonly perform: RelayTransport['perform'];
  /** Lists the peers that are likely to be reachable. */
  listPeers(): readonly PeerAddress[];
  /** Lists the reachable peers whose event loop is late. */
  listLatePeers(): ReadonlySet<EntryHostId>;
  /** Fetches the cluster state of a host if its versions are newer than those of this host. */
  handleVersions(host: Pick<PeerAddress, 'entryHost' | 'address'> & ClusterStateVersions): void;
  /** Fetches the cluster state from hosts whose addresses may be out of date. */
  fetchClusterStateFrom(addresses: readonly string[]): Promise<void>;
  /** Stops sending to the other hosts; they may still query this host until `close`. */
  stop(): void;
  close(): Promise<void>;
}

/** Connects this host with its peers to share load, spending and cluster state. */
export default async function openPeerLink(options: PeerLinkOptions): Promise<PeerLink> {
  const { clock, self, stateCache, peerTable, pools, quota } = options;
  let peers: readonly PeerAddress[] = [];
  let candidates: readonly PeerAddress[] = [];
  const poolUpdate = createPoolUpdate({ clock, pools, peerTable });

  function handleSummary(message: HostSummary | HostChange): void {
    const now = clock.now();
    const isNew = peerTable.record(message, now);
    pools.speeds.merge(message.speeds ?? {}, now);
    pools.loans.merge(message);
    if (message.kind === 'summary') {
      if (!options.getRole().isLarge) {
        stateCache.upsertPeer(message);
      }
      quota.recordHostSpending({ ...message, from: message.entryHost, now });
      pools.markLeaving(message.leaving ?? []);
      stateFetcher.handleVersions(message);
    }
    if (isNew) {
      options.onReachableChange();
    }
    if (options.getRole().isLarge) {
      poolUpdate.schedule();
    } else {
      poolUpdate.run();
    }
  }

  function handleMessage(sender: Sender, message: HostMessage, respond: Respond): void {
    options.onMessage(sender, message);
    switch (message.kind) {
      case 'summary':
      case 'change':
        handleSummary(message);
        return;
      case 'ask':
      case 'cancel':
      case 'return':
      case 'serverReport':
      case 'refund':
      case 'report':
      case 'probe':
      case 'leave':
        options.onSchedulerRequest(sender, message, respond);
        return;
      case 'granted':
      case 'refused':
      case 'queued':
      case 'unknown':
      case 'status':
        options.onSchedulerResponse(sender, message);
        return;
      case 'findings':
        options.findings.merge(message);
        return;
      default:
        message satisfies never;
    }
  }

  function listSummaryRecipients(): ReturnType<typeof chooseSummaryRecipients> {
    return chooseSummaryRecipients({
      role: options.getRole(),
      peers,
      candidates,
      reachable: peerTable.listReachable(clock.now()),
    });
  }

  const transport = await options.openTransport({
    identity: self,
    listenAddress: self.address,
    onMessage: handleMessage,
    getClusterState: (query) => stateCache.getSince(query),
    onTask: options.onTask,
  });
  const stateFetcher = createStateFetcher({
    ...options,
    transport,
    getVersions: stateCache.getVersions,
    onClusterState: stateCache.merge,
    isGranting: () => options.getRole().isGranting,
  });
  const peerSync = createPeerSync({
    ...options,
    transport,
    getSummary: () =>
      createHostSummary({
        ...self,
        pools,
        spent: quota.getSpent(clock.now()),
        hosts: options.getRole().ownHosts,
        loopDelay: options.loopDelay.get(),
        versions: stateCache.getVersions(),
        now: clock.now(),
      }),
    listRecipients: listSummaryRecipients,
  });
  const findingsSync = createFindingsSync({
    ...options,
    transport,
    tryGetReport: options.findings.tryGetReport,
    listRecipients: listSummaryRecipients,
  });

  const reachabilityLog = createPeerReachabilityLog({
    ...options,
    listReachable: () => peerTable.listReachable(clock.now()).map(({ entryHost }) => entryHost),
    onLost: poolUpdate.run,
  });

  return {
    setPeers(next) {
      peers = next;
      candidates = listDomainCandidates([self, ...peers], CANDIDATES_PER_DOMAIN).filter(
        ({ entryHost }) => entryHost !== self.entryHost,
      );
    },
    announceChange(isScarce) {
      const role = options.getRole();
      if (!role.isLarge || role.isGranting) {
        peerSync.announceChange(isScarce);
      }
    },
    announceFindings: findingsSync.announceChange,
    send: (host, message) => transport.send(host.address, message),
    perform: transport.perform,
    listPeers: () =>
      listLikelyPeers({ role: options.getRole(), peers, peerTable, now: clock.now() }),
    listLatePeers: () => listLatePeers(peerTable, clock.now()),
    handleVersions: stateFetcher.handleVersions,
    fetchClusterStateFrom: stateFetcher.fetchFrom,
    stop() {
      peerSync.stop();
      findingsSync.stop();
      reachabilityLog.stop();
    },
    close: transport.close,
  };
}
