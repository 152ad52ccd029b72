import type { ServerType } from '@hono/node-server';
import type { EntryHostId, FailureDomainId, Incarnation } from '@rattanreel/core';
import createClusterStateCache from './createClusterStateCache';
import addRelayGauges from './addRelayGauges';
import createMetricsEndpoint from './createMetricsEndpoint';
import createPools from './createPools';
import createReadinessEndpoint from './createReadinessEndpoint';
import createStoreWatcher from './createStoreWatcher';
import registerHost from './registerHost';
import createRequestHandler from './createRequestHandler';
import createRequestClassifier from './decisions/createRequestClassifier';
import createRouteTable from './decisions/createRouteTable';
import createSharedQuota from './decisions/createSharedQuota';
import createCallerEndpoint from './front/createCallerEndpoint';
import drainCallerEndpoint from './front/drainCallerEndpoint';
import createRelayMetrics from './front/createRelayMetrics';
import createRequestObserver from './front/createRequestObserver';
import createPeerTable from './peers/createPeerTable';
import openPeerLink from './peers/openPeerLink';
import createServerConnections from './servers/createServerConnections';
import type {
  ClusterStateSource,
  CallerLimits,
  HeaderNames,
  Quota,
  RelayBounds,
  RelayConfiguration,
  RelayContext,
  RelayCustomer,
  RelayHost,
} from './types';
import type { RouteTable } from './decisions/types';

/** Limits that apply until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

interface RelayHostOptions {
  readonly context: RelayContext;
  readonly bounds: RelayBounds;
  readonly names: HeaderNames;
  readonly source: ClusterStateSource;
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  /** Listening addresses as HOST:PORT, for callers, readiness checks, peers and metrics. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly readyPath: string;
  readonly peerAddress: string;
  readonly metricsAddress: string;
  /** Addresses of some entry hosts, possibly out of date. */
  readonly seedAddresses: readonly string[];
}

function indexCustomers(
  configuration: RelayConfiguration,
): ReadonlyMap<string, RelayCustomer> | undefined {
  const { customers } = configuration;
  return customers === undefined
    ? undefined
    : new Map(customers.flatMap((customer) => customer.keys.map((key) => [key, customer])));
}

function listQuotas(configuration: RelayConfiguration): ReadonlyMap<string, Quota> {
  return new Map(
    (configuration.customers ?? []).flatMap(({ name, quota }) =>
      quota === undefined ? [] : [[name, quota]],
    ),
  );
}

/** Runs the relay on one entry host: connects cluster state, pools, peers and callers. */
export default async function createRelayHost(options: RelayHostOptions): Promise<RelayHost> {
  const { context, source, entryHost, incarnation, failureDomain, peerAddress } = options;
  const { clock, logger, random } = context;
  const bounds = { ...options.bounds };
  const startedAt = clock.now();
  const identity = { entryHost, incarnation, failureDomain, address: peerAddress };
  const quota = createSharedQuota({ now: startedAt });
  const metrics = createRelayMetrics();
  const classifier = createRequestClassifier();
  const observer = createRequestObserver({
    logger,
    metrics,
    now: clock.now,
    getBasis: () => ({ ...stateCache.getVersions(), ...peerTable.getFreshness(clock.now()) }),
  });
  const connections = createServerConnections({ clock });
  const peerTable = createPeerTable();
  let routes: RouteTable | undefined;
  let customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  let limits = INITIAL_LIMITS;
  let isReady = false;
  let isStopping = false;

  const stateCache = createClusterStateCache({
    clock,
    logger,
    ownName: entryHost,
    onConfiguration(configuration) {
      routes = createRouteTable(configuration.routes);
      classifier.retainRoutes(new Set(configuration.routes.map(({ name }) => name)));
      customersByKey = indexCustomers(configuration);
      limits = configuration.limits;
      quota.setQuotas(listQuotas(configuration), clock.now());
      pools.setSettings(configuration.pools);
      callerEndpoint.applyLimits();
    },
    onServers(servers) {
      connections.retainServers(new Map(servers.map((server) => [server.id, server])));
      pools.setServers(servers);
    },
    onEvacuated: (_evacuated, returned) => pools.markCold(returned),
    onPeers(peers) {
      const sameDomainPeers = peers.filter((peer) => peer.failureDomain === failureDomain);
      pools.setHosts(
        [entryHost, ...peers.map((peer) => peer.entryHost)],
        sameDomainPeers.length + 1,
      );
      link.setPeers(peers);
    },
  });

  const pools = createPools({
    clock,
    random,
    ownName: entryHost,
    ownDomain: failureDomain,
    bounds,
    getEvacuated: () => stateCache.evacuated,
    onInFlightChange: (isScarce) => link.announceChange(isScarce),
  });

  const requestHandler = createRequestHandler({
    context,
    names: options.names,
    pools,
    quota,
    classifier,
    connections,
    observer,
    getRoutes: () => routes,
    getCustomersByKey: () => customersByKey,
  });

  const callerEndpoint = createCallerEndpoint({
    clock,
    getLimits: () => limits,
    onRequest: requestHandler.handle,
    onTooLarge: requestHandler.rejectTooLarge,
  });

  const link = await openPeerLink({
    clock,
    logger,
    self: identity,
    stateCache,
    peerTable,
    pools,
    quota,
  });

  function hasClusterState(): boolean {
    return routes !== undefined && stateCache.getVersions().serversVersion >= 0;
  }

  const readiness: ServerType = createReadinessEndpoint({
    address: options.readinessAddress,
    readyPath: options.readyPath,
    isReady: () => isReady && hasClusterState() && !isStopping,
  });

  const metricsEndpoint = createMetricsEndpoint({
    address: options.metricsAddress,
    scrape: metrics.scrape,
  });
  addRelayGauges({ metrics, pools, stateCache, peerTable, clock });

  await callerEndpoint.listen(options.callerAddress);
  isReady = true;
  const storeWatcher = createStoreWatcher({
    context,
    source,
    stateCache,
    peerTable,
    ownName: entryHost,
    ownDomain: failureDomain,
  });
  registerHost({ context, source, self: identity, isStopping: () => isStopping });
  const seeds = options.seedAddresses.filter((address) => address !== peerAddress);
  void link.fetchClusterStateFrom(seeds);
  logger.info({ entryHost, incarnation, startedIn: clock.now() - startedAt }, 'host started');

  return {
    applyBounds(next) {
      Object.assign(bounds, next);
    },
    async stop() {
      isStopping = true;
      await drainCallerEndpoint({
        clock,
        logger,
        endpoint: callerEndpoint,
        gracePeriod: bounds.shutdownGracePeriod,
      });
      link.stop();
      storeWatcher.stop();
      stateCache.stop();
      callerEndpoint.close();
      readiness.close();
      metricsEndpoint.close();
      await Promise.all([link.close(), source.close(), connections.close()]);
    },
  };
}
