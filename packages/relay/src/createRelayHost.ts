import type { ServerType } from '@hono/node-server';
import addRelayGauges from './addRelayGauges';
import createHostCore from './createHostCore';
import createMetricsEndpoint from './createMetricsEndpoint';
import createReadinessEndpoint from './createReadinessEndpoint';
import createRequestHandler from './createRequestHandler';
import createRequestClassifier from './decisions/createRequestClassifier';
import createRouteTable from './decisions/createRouteTable';
import type { RouteTable } from './decisions/types';
import addDutyGauges from './duties/addDutyGauges';
import createCallerEndpoint from './front/createCallerEndpoint';
import createRelayMetrics from './front/createRelayMetrics';
import createRequestObserver from './front/createRequestObserver';
import drainCallerEndpoint from './front/drainCallerEndpoint';
import openRelayTransport from './peers/openRelayTransport';
import createServerConnections from './servers/createServerConnections';
import type {
  CallerLimits,
  HeaderNames,
  RelayConfiguration,
  RelayCustomer,
  RelayHost,
} from './types';

/** Limits that apply until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

interface RelayHostOptions extends Omit<
  Parameters<typeof createHostCore>[0],
  'openTransport' | 'direct' | 'onConfiguration'
> {
  readonly names: HeaderNames;
  /** Listening addresses as HOST:PORT, for callers, readiness checks and metrics. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly readyPath: string;
  readonly metricsAddress: string;
}

function indexCustomers(
  configuration: RelayConfiguration,
): ReadonlyMap<string, RelayCustomer> | undefined {
  const { customers } = configuration;
  return customers === undefined
    ? undefined
    : new Map(customers.flatMap((customer) => customer.keys.map((key) => [key, customer])));
}

/** Runs the relay on one entry host: connects cluster state, pools, peers and callers. */
export default async function createRelayHost(options: RelayHostOptions): Promise<RelayHost> {
  const { context, entryHost, incarnation } = options;
  const { clock, logger } = context;
  const bounds = { ...options.bounds };
  const startedAt = clock.now();
  const metrics = createRelayMetrics();
  const classifier = createRequestClassifier();
  let routes: RouteTable | undefined;
  let customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  let limits = INITIAL_LIMITS;
  let isReady = false;
  let isStopping = false;

  const core = await createHostCore({
    ...options,
    bounds,
    openTransport: openRelayTransport,
    direct: createServerConnections({ clock }),
    onConfiguration(configuration) {
      routes = createRouteTable(configuration.routes);
      classifier.retainRoutes(new Set(configuration.routes.map(({ name }) => name)));
      customersByKey = indexCustomers(configuration);
      limits = configuration.limits;
      callerEndpoint.applyLimits();
    },
  });
  const { pools, stateCache, peerTable } = core;

  const observer = createRequestObserver({
    logger,
    metrics,
    now: clock.now,
    getBasis: () => ({ ...stateCache.getVersions(), ...peerTable.getFreshness(clock.now()) }),
  });

  const requestHandler = createRequestHandler({
    context,
    names: options.names,
    admission: core.admission,
    embargo: core.embargo,
    crashGuard: core.crashGuard,
    serverLimits: core.serverLimits,
    brittlePools: core.brittlePools,
    classifier,
    connections: core.forwarding.connections,
    onBegun: (customer) => core.duties?.recordBegun(customer),
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

  const readiness: ServerType = createReadinessEndpoint({
    address: options.readinessAddress,
    readyPath: options.readyPath,
    isReady: () => isReady && core.hasClusterState() && !isStopping,
  });

  const metricsEndpoint = createMetricsEndpoint({
    address: options.metricsAddress,
    scrape: metrics.scrape,
  });
  const { connections } = core.forwarding;
  addRelayGauges({
    metrics,
    pools,
    stateCache,
    peerTable,
    crashGuard: core.crashGuard,
    connections,
    clock,
  });
  if (core.duties !== undefined) {
    addDutyGauges(metrics, core.duties);
  }

  await callerEndpoint.listen(options.callerAddress);
  isReady = true;
  core.start();
  logger.info({ entryHost, incarnation, startedIn: clock.now() - startedAt }, 'host started');

  return {
    applyBounds(next) {
      Object.assign(bounds, next);
    },
    async stop() {
      isStopping = true;
      core.resign();
      await drainCallerEndpoint({
        clock,
        logger,
        endpoint: {
          ...callerEndpoint,
          countActive: () => callerEndpoint.countActive() + core.forwarding.tasks.countActive(),
        },
        gracePeriod: bounds.shutdownGracePeriod,
      });
      callerEndpoint.close();
      readiness.close();
      metricsEndpoint.close();
      await core.stop();
    },
  };
}
