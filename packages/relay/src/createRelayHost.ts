import type { ServerType } from '@hono/node-server';
import type { EntryHostId, FailureDomainId, Incarnation } from '@rattanreel/core';
import createBeliefKeeper from './createBeliefKeeper';
import createHostSummary from './createHostSummary';
import addRelayGauges from './addRelayGauges';
import createMetricsFront from './createMetricsFront';
import createPools from './createPools';
import createReadinessFront from './createReadinessFront';
import createStoreFollower from './createStoreFollower';
import registerHost from './registerHost';
import createRequestDesk from './createRequestDesk';
import choosePartners from './decisions/choosePartners';
import createRequestHabits from './decisions/createRequestHabits';
import createRouteTable from './decisions/createRouteTable';
import createSharedQuota from './decisions/createSharedQuota';
import createRelayFront from './front/createRelayFront';
import drainFront from './front/drainFront';
import createRelayMetrics from './front/createRelayMetrics';
import createRequestObserver from './front/createRequestObserver';
import openRelayTransport from './peers/openRelayTransport';
import createPeerExchange from './peers/createPeerExchange';
import createPeerTable from './peers/createPeerTable';
import createServerConnections from './servers/createServerConnections';
import type {
  BeliefSource,
  CallerLimits,
  HeaderNames,
  HostMessage,
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
  const observer = createRequestObserver({ logger, metrics, now: clock.now });
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
      const names = peers.map((peer) => peer.entryHost);
      quota.setPeers(names);
      pools.setHosts([entryHost, ...names]);
      exchange.setPeers(choosePartners(peers, failureDomain));
    },
  });

  const pools = createPools({
    clock,
    random,
    ownName: entryHost,
    ownDomain: failureDomain,
    bounds,
    getEvacuated: () => keeper.evacuated,
    onChange: (isScarce) => exchange.noteChange(isScarce),
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

  function hear(message: HostMessage): void {
    const now = clock.now();
    peerTable.hear(message, now);
    if (message.kind === 'summary') {
      keeper.learnPeer(message);
      quota.hear({ ...message, from: message.entryHost, now });
      exchange.hear(message);
    }
    const counts = peerTable.countInFlight(now);
    pools.forEachDesk((desk, pool) =>
      desk.setOthers(counts, peerTable.countByTier(pool, now), peerTable.countWaiting(pool, now)),
    );
  }

  const transport = await openRelayTransport({
    identity: { entryHost, incarnation },
    listenAddress: peerAddress,
    onMessage: hear,
    getBeliefs: () => keeper.get(),
  });
  const exchange = createPeerExchange({
    clock,
    logger,
    transport,
    getSummary: () =>
      createHostSummary({
        ...identity,
        pools,
        spent: quota.spent(),
        versions: keeper.getVersions(),
      }),
    getVersions: keeper.getVersions,
    onBeliefs: keeper.merge,
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
  void exchange.askAny(seeds);
  logger.info({ entryHost, incarnation, startedIn: clock.now() - startedAt }, 'host started');

  return {
    applyBounds(next) {
      Object.assign(bounds, next);
    },
    async stop() {
      isStopping = true;
      await drainFront({ clock, logger, front, grace: bounds.stopGrace });
      exchange.stop();
      follower.stop();
      keeper.stop();
      front.close();
      readiness.close();
      metricsFront.close();
      await Promise.all([transport.close(), source.close(), connections.close()]);
    },
  };
}
