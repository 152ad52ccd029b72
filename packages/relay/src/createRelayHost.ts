import type { ListenError } from '@rattanreel/connections';
import { ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { createErrorRecorder } from '@rattanreel/observability';
import addRelayGauges from './addRelayGauges';
import createHostCore from './createHostCore';
import createRequestHandler from './createRequestHandler';
import createRequestClassifier from './decisions/createRequestClassifier';
import createRouteTable from './decisions/createRouteTable';
import type { RouteTable } from './decisions/types';
import addDutyGauges from './duties/addDutyGauges';
import createCallerBounds from './front/createCallerBounds';
import createHostCallerEndpoint from './front/createHostCallerEndpoint';
import createRelayMetrics from './front/createRelayMetrics';
import createRequestObserver from './front/createRequestObserver';
import createHedging from './hedging/createHedging';
import createLoggedLoopDelay from './lateness/createLoggedLoopDelay';
import createStopDeadline from './lateness/createStopDeadline';
import createTimeCheck from './lateness/createTimeCheck';
import openListeners from './openListeners';
import openRelayTransport from './peers/openRelayTransport';
import createServerConnections from './servers/createServerConnections';
import stopRelayHost from './stopRelayHost';
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
  'openTransport' | 'direct' | 'onConfiguration' | 'loopDelay' | 'callerMemory'
> {
  readonly names: HeaderNames;
  /** Bytes of memory that the process may use; Infinity if it is not limited. */
  readonly memory: number;
  /** Descriptors that the process may use; Infinity if they are not limited. */
  readonly descriptors: number;
  /** Share of the requests that may be sent twice to cut the slowest responses; 0 for none. */
  readonly hedgeLimit: number;
  /** Listening addresses as HOST:PORT, for callers, readiness checks and metrics. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly readyPath: string;
  readonly metricsAddress: string;
  /** Ends the start while an address is not available. */
  readonly signal?: AbortSignal | undefined;
}

function indexCustomers(
  configuration: RelayConfiguration,
): ReadonlyMap<string, RelayCustomer> | undefined {
  const { customers } = configuration;
  return customers === undefined
    ? undefined
    : new Map(customers.flatMap((customer) => customer.keys.map((key) => [key, customer])));
}

/**
 * Runs the relay on one entry host: connects cluster state, pools, peers and callers. Waits until the
 * addresses for peers and callers are available; the host serves callers without its metrics.
 */
export default async function createRelayHost(
  options: RelayHostOptions,
): Promise<Outcome<RelayHost, ListenError>> {
  const { entryHost, incarnation } = options;
  const loopDelay = createLoggedLoopDelay(options.context);
  const context = { ...options.context, clock: loopDelay.clock };
  const { clock, logger } = context;
  const stopDeadline = createStopDeadline();
  const bounds = { ...options.bounds };
  const startedAt = clock.now();
  const metrics = createRelayMetrics();
  const recordError = createErrorRecorder({ logger, countError: metrics.countError });
  const classifier = createRequestClassifier();
  let routes: RouteTable | undefined;
  let customersByKey: ReadonlyMap<string, RelayCustomer> | undefined;
  let limits = INITIAL_LIMITS;
  let hasClusterState = (): boolean => false;
  let isStopping = false;
  let stopped: Promise<void> | undefined;

  const callerBounds = createCallerBounds({ ...options, clock });
  const { callerMemory, connectionLimits } = callerBounds;
  const countFailure = metrics.countListenFailure;
  const listening = { ...context, signal: options.signal, countFailure };
  const opened = await openListeners({
    ...options,
    listening,
    intake: { clock, memory: callerMemory, onEnd: metrics.countIntakeEnd },
    connectionLimits,
    scrape: metrics.scrape,
    isReady: () => hasClusterState() && !isStopping,
  });
  if (opened.kind === 'error') {
    await options.source.close();
    return opened;
  }
  const { peerListener: listener, closeChecks } = opened.value;

  const core = await createHostCore({
    ...options,
    context,
    loopDelay,
    bounds,
    openTransport: (transport) =>
      openRelayTransport({ ...transport, ...callerBounds, onHandlerError: recordError, listener }),
    callerMemory,
    direct: createServerConnections({ loopDelay }),
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
    stopDeadline,
    getBasis: () => ({ ...stateCache.getVersions(), ...peerTable.getFreshness(clock.now()) }),
  });

  const hedging = createHedging({
    limit: options.hedgeLimit,
    isInvestigating: () =>
      core.crashGuard.tryGetReport() !== undefined || core.rollouts.tryGetReport() !== undefined,
    count: metrics.countHedge,
    observeDelay: metrics.observeHedgeDelay,
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
    hedging,
    timeCheck: createTimeCheck({
      clock,
      random: context.random,
      loopDelay,
      stopDeadline,
      getExpectedDuration: ({ pool, outputTokens }) =>
        pools.getExpectedDuration(pool, outputTokens),
      isScheduledByOther: core.isScheduledByOther,
    }),
    onBegun: (customer) => core.duties?.recordBegun(customer),
    observer,
    getRoutes: () => routes,
    getCustomersByKey: () => customersByKey,
  });

  const callerEndpoint = createHostCallerEndpoint({
    ...options,
    context,
    loopDelay,
    getLimits: () => limits,
    requestHandler,
    recordError,
    metrics,
    callerMemory,
    connectionLimits,
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
    loopDelay,
    callerMemory,
  });
  if (core.duties !== undefined) {
    addDutyGauges(metrics, core.duties);
  }

  const listeningForCallers = await callerEndpoint.listen(options.callerAddress, listening);
  if (listeningForCallers.kind === 'error') {
    closeChecks();
    await core.stop();
    return listeningForCallers;
  }
  hasClusterState = core.hasClusterState;
  core.start();
  logger.info({ entryHost, incarnation, startedIn: clock.now() - startedAt }, 'host started');

  return ok({
    recordError,
    applyBounds(next) {
      Object.assign(bounds, next);
    },
    stop() {
      isStopping = true;
      stopped ??= stopRelayHost({
        clock,
        logger,
        core,
        callerEndpoint,
        otherEndpoints: [{ close: closeChecks }],
        stopDeadline,
        gracePeriod: bounds.shutdownGracePeriod,
      });
      return stopped;
    },
  });
}
