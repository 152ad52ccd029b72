import type { ServerType } from '@hono/node-server';
import type { EntryHostId, FailureDomainId, Incarnation } from '@rattanreel/core';
import createBeliefKeeper from './createBeliefKeeper';
import addRelayGauges from './addRelayGauges';
import createMetricsFront from './createMetricsFront';
import createPools from './createPools';
import createReadinessFront from './createReadinessFront';
import createStoreFollower from './createStoreFollower';
import registerHost from './registerHost';
import createRequestDesk from './createRequestDesk';
import createRequestHabits from './decisions/createRequestHabits';
import createRouteTable from './decisions/createRouteTable';
import createSharedQuota from './decisions/createSharedQuota';
import createRelayFront from './front/createRelayFront';
import drainFront from './front/drainFront';
import createRelayMetrics from './front/createRelayMetrics';
import createRequestObserver from './front/createRequestObserver';
import createPeerTable from './peers/createPeerTable';
import openPeerLink from './peers/openPeerLink';
import createServerConnections from './servers/createServerConnections';
import type {
  BeliefSource,
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

/** Limits until a configuration is known. */
const FIRST_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

interface RelayHostOptions {
  readonly context: RelayContext;
  readonly bounds: RelayBounds;
  readonly names: HeaderNames;
  readonly source: BeliefSource;
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  /** HOST:PORT for callers, for the balancer's question, and for other hosts. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly readyPath: string;
  readonly peerAddress: string;
  readonly metricsAddress: string;
  /** Addresses of some hosts, possibly out of date. */
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

/** Runs the relay on one entry host: binds beliefs, pools, peers and callers together. */
export default async function createRelayHost(options: RelayHostOptions): Promise<RelayHost> {
  const { context, source, entryHost, incarnation, failureDomain, peerAddress } = options;
  const { clock, logger, random } = context;
  const bounds = { ...options.bounds };
  const startedAt = clock.now();
  const identity = { entryHost, incarnation, failureDomain, address: peerAddress };
  const quota = createSharedQuota({ now: startedAt });
  const metrics = createRelayMetrics();
  const habits = createRequestHabits();
  const observer = createRequestObserver({
    logger,
    metrics,
    now: clock.now,
    getBasis: () => ({ ...keeper.getVersions(), ...peerTable.getAge(clock.now()) }),
  });
  const connections = createServerConnections({ clock });
  const peerTable = createPeerTable();
  let routes: RouteTable | undefined;
  let customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  let limits = FIRST_LIMITS;
  let isReady = false;
  let isStopping = false;

  const keeper = createBeliefKeeper({
    clock,
    logger,
    ownName: entryHost,
    onConfiguration(configuration) {
      routes = createRouteTable(configuration.routes);
      habits.keepOnly(new Set(configuration.routes.map(({ name }) => name)));
      customersByKey = indexCustomers(configuration);
      limits = configuration.limits;
      quota.setQuotas(listQuotas(configuration), clock.now());
      pools.setSettings(configuration.pools);
      front.applyLimits();
    },
    onServers(servers) {
      connections.retain(new Map(servers.map((server) => [server.id, server])));
      pools.setServers(servers);
    },
    onEvacuated: (_evacuated, returned) => pools.coolDown(returned),
    onPeers(peers) {
      const near = peers.filter((peer) => peer.failureDomain === failureDomain);
      pools.setHosts([entryHost, ...peers.map((peer) => peer.entryHost)], near.length + 1);
      link.setPeers(peers);
    },
  });

  const pools = createPools({
    clock,
    random,
    ownName: entryHost,
    ownDomain: failureDomain,
    bounds,
    getEvacuated: () => keeper.evacuated,
    onChange: (isScarce) => link.noteChange(isScarce),
  });

  const requestDesk = createRequestDesk({
    context,
    names: options.names,
    pools,
    quota,
    habits,
    connections,
    observer,
    getRoutes: () => routes,
    getCustomersByKey: () => customersByKey,
  });

  const front = createRelayFront({
    clock,
    getLimits: () => limits,
    onRequest: requestDesk.take,
    onTooLarge: requestDesk.refuseTooLarge,
  });

  const link = await openPeerLink({
    clock,
    logger,
    self: identity,
    keeper,
    peerTable,
    pools,
    quota,
  });

  function isWarm(): boolean {
    return routes !== undefined && keeper.getVersions().serversVersion >= 0;
  }

  const readiness: ServerType = createReadinessFront({
    address: options.readinessAddress,
    readyPath: options.readyPath,
    isReady: () => isReady && isWarm() && !isStopping,
  });

  const metricsFront = createMetricsFront({
    address: options.metricsAddress,
    scrape: metrics.scrape,
  });
  addRelayGauges({ metrics, pools, keeper, peerTable, clock });

  await front.listen(options.callerAddress);
  isReady = true;
  const follower = createStoreFollower({
    context,
    source,
    keeper,
    peerTable,
    ownName: entryHost,
    ownDomain: failureDomain,
  });
  registerHost({ context, source, self: identity, isStopping: () => isStopping });
  const seeds = options.seedAddresses.filter((address) => address !== peerAddress);
  void link.askAny(seeds);
  logger.info({ entryHost, incarnation, startedIn: clock.now() - startedAt }, 'host started');

  return {
    applyBounds(next) {
      Object.assign(bounds, next);
    },
    async stop() {
      isStopping = true;
      await drainFront({ clock, logger, front, grace: bounds.stopGrace });
      link.stop();
      follower.stop();
      keeper.stop();
      front.close();
      readiness.close();
      metricsFront.close();
      await Promise.all([link.close(), source.close(), connections.close()]);
    },
  };
}
