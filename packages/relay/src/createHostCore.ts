import type { CallerMemory } from '@rattanreel/connections';
import type { EntryHostId, FailureDomainId, Incarnation } from '@rattanreel/core';
import createQuotaAdmission from './admission/createQuotaAdmission';
import createScheduling from './admission/createScheduling';
import type { Admission } from './admission/types';
import createClusterStateCache from './createClusterStateCache';
import createPools from './createPools';
import createStoreWatcher from './createStoreWatcher';
import createServerEmbargo from './decisions/createServerEmbargo';
import createSharedQuota from './decisions/createSharedQuota';
import type { ServerEmbargo } from './decisions/types';
import type { BrittlePools, ServerLimits } from './limits/types';
import createForwarding from './forwarding/createForwarding';
import type { Forwarding } from './forwarding/types';
import createFindings from './peers/createFindings';
import createPeerTable from './peers/createPeerTable';
import openPeerLink from './peers/openPeerLink';
import type { LoopDelay } from './lateness/types';
import type { OpenTransport } from './peers/types';
import type { CrashGuard } from './crashes/types';
import type { Rollouts } from './rollouts/types';
import createDutyLink from './duties/createDutyLink';
import type { Duties, DutyOptions } from './duties/types';
import registerHost from './registerHost';
import type { ServerConnections } from './servers/types';
import type {
  ClusterStateCache,
  ClusterStateSource,
  FleetRole,
  PeerTable,
  Quota,
  RelayBounds,
  RelayConfiguration,
  RelayContext,
} from './types';
import type { Pools } from './pools/types';

interface HostCoreOptions {
  readonly context: RelayContext;
  /** Measures the delay by the timers of the context's clock. */
  readonly loopDelay: LoopDelay;
  readonly bounds: RelayBounds;
  readonly source: ClusterStateSource;
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  /** Processor cores that this host may use. */
  readonly capacity: number;
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  readonly peerAddress: string;
  /** Addresses of some entry hosts, possibly out of date. */
  readonly seedAddresses: readonly string[];
  readonly openTransport: OpenTransport;
  /** Holds the bodies of requests that this host sends for peers, too. */
  readonly callerMemory?: Pick<CallerMemory, 'reserve'>;
  /** This host's own links to the backend servers. */
  readonly direct: ServerConnections;
  readonly onConfiguration: (configuration: RelayConfiguration) => void;
  /** Absent where the deployment has no duties. */
  readonly duties?: DutyOptions | undefined;
}

interface HostCore {
  readonly admission: Admission;
  readonly forwarding: Forwarding;
  readonly embargo: ServerEmbargo;
  readonly crashGuard: CrashGuard;
  readonly rollouts: Rollouts;
  readonly serverLimits: ServerLimits;
  readonly brittlePools: BrittlePools;
  readonly pools: Pools;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  /** Undefined where the deployment has no duties. */
  readonly duties: Duties | undefined;
  getRole(): FleetRole;
  /** Whether another host grants the slots of this one. */
  isScheduledByOther(): boolean;
  /** Whether this host knows a configuration and the backend servers. */
  hasClusterState(): boolean;
  /** Begins to follow the platform's store and registers this host. */
  start(): void;
  /** Hands the hosts that this one schedules over to another one. */
  resign(): void;
  stop(): Promise<void>;
}

function listQuotas(configuration: RelayConfiguration): ReadonlyMap<string, Quota> {
  return new Map(
    (configuration.customers ?? []).flatMap(({ name, quota }) =>
      quota === undefined ? [] : [[name, quota]],
    ),
  );
}

function listOtherSeeds({ seedAddresses, peerAddress }: HostCoreOptions): readonly string[] {
  return seedAddresses.filter((address) => address !== peerAddress);
}

function knowsClusterState(stateCache: ClusterStateCache): boolean {
  const { configurationVersion, serversVersion } = stateCache.getVersions();
  return configurationVersion >= 0 && serversVersion >= 0;
}

/**
 * Creates the part of an entry host that serves no callers: its cluster state, pools and quotas,
 * and its connections to peers.
 */
export default async function createHostCore(options: HostCoreOptions): Promise<HostCore> {
  const { context, source, bounds, entryHost, incarnation, failureDomain, peerAddress } = options;
  const { clock, random } = context;
  const { capacity, isBootstrap, loopDelay } = options;
  const self = { entryHost, failureDomain, address: peerAddress, capacity };
  const quota = createSharedQuota({ now: clock.now(), random, bounds });
  const embargo = createServerEmbargo();
  const dutyLink = createDutyLink();
  const peerTable = createPeerTable();
  const findings = createFindings({
    ...context,
    ownName: entryHost,
    bounds,
    getRole: () => scheduling.getRole(),
    record: source.recordRollout,
    onChange: (origin) => link.announceFindings(origin),
  });
  const { crashGuard, serverLimits, brittlePools, rollouts } = findings;
  let storeWatcher: ReturnType<typeof createStoreWatcher> | undefined;
  let hasAskedSeeds = false;
  let isStopping = false;

  const stateCache = createClusterStateCache({
    ...context,
    ownName: entryHost,
    onConfiguration(configuration) {
      quota.setQuotas(listQuotas(configuration), clock.now());
      pools.setSettings(configuration.pools, configuration.customers);
      options.onConfiguration(configuration);
      scheduling.announceStatus();
    },
    onServers(servers) {
      const serversById = new Map(servers.map((server) => [server.id, server]));
      embargo.retainServers(serversById);
      crashGuard.recordListed(servers);
      forwarding.connections.retainServers(serversById);
      pools.setServers(servers);
    },
    onEvacuated(_evacuated, returned) {
      pools.markCold(returned);
      scheduling.announceStatus();
    },
    onRollouts: rollouts.setRollouts,
    onPeers(peers) {
      link.setPeers(peers);
      scheduling.setPeers(peers);
    },
    onStoreRestored: () => register(false),
  });

  const pools = createPools({
    ...context,
    ownName: entryHost,
    incarnation,
    ownDomain: failureDomain,
    bounds,
    embargo,
    rollouts,
    serverLimits,
    brittlePools,
    getEvacuated: () => stateCache.evacuated,
    onInFlightChange: (isScarce) => link.announceChange(isScarce),
  });

  const scheduling = createScheduling({
    ...context,
    self,
    local: createQuotaAdmission({ clock, random, pools, quota }),
    pools,
    quota,
    embargo,
    stateCache,
    peerTable,
    loopDelay,
    hasClusterState: () => knowsClusterState(stateCache),
    send: (host, message) => link.send(host, message),
    onVersions: (host) => link.handleVersions(host),
    onRoleChange: () => link.announceChange(false),
    dutyFields: dutyLink,
  });

  const forwarding = createForwarding({
    ...options,
    ...context,
    embargo,
    getEvacuated: () => stateCache.evacuated,
    isServing: () => !isStopping,
    getLink: () => link,
  });

  const link = await openPeerLink({
    ...context,
    openTransport: options.openTransport,
    self: { ...self, incarnation },
    stateCache,
    peerTable,
    pools,
    quota,
    ...scheduling,
    loopDelay,
    isWatchingStore: () => storeWatcher?.isWatching() ?? false,
    findings,
    onSchedulerRequest: scheduling.handleRequest,
    onSchedulerResponse: scheduling.handleResponse,
    onReachableChange: scheduling.updateSharing,
    onTask: forwarding.tasks.begin,
    tryGetUsage: () => dutyLink.tryGetReport('peers'),
    onMessage: dutyLink.merge,
  });

  const register = (isOptional: boolean): void =>
    registerHost({ ...options, self, isOptional, isStopping: () => isStopping });

  const parts = { forwarding, embargo, ...findings, pools, stateCache, peerTable };

  /** Asks the hosts named in the settings for the cluster state, once. */
  function askSeeds(): void {
    if (!hasAskedSeeds && !knowsClusterState(stateCache)) {
      hasAskedSeeds = true;
      void link.fetchClusterStateFrom(listOtherSeeds(options));
    }
  }

  return {
    admission: scheduling.admission,
    ...parts,
    duties: dutyLink.tryStart({ ...options, ...scheduling, ...parts, self }),
    getRole: scheduling.getRole,
    isScheduledByOther: () => scheduling.tryGetScheduler() !== undefined,
    hasClusterState: () => knowsClusterState(stateCache),
    start() {
      storeWatcher = createStoreWatcher({
        context,
        source,
        stateCache,
        getRole: scheduling.getRole,
        isBootstrap,
        onListed(isListed) {
          // In a large fleet the scheduler has the state, and the seeds would get hundreds of calls.
          if (!isListed || !scheduling.getRole().isLarge) {
            askSeeds();
          }
        },
      });
      register(true);
    },
    resign() {
      isStopping = true;
      scheduling.resign();
    },
    async stop() {
      await dutyLink.stop();
      scheduling.stop();
      link.stop();
      storeWatcher?.stop();
      stateCache.stop();
      await Promise.all([link.close(), source.close(), forwarding.connections.close()]);
    },
  };
}
