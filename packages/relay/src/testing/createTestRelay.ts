import { createRandom } from '@rattanreel/core';
import type { Clock, Milliseconds } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import type { Logger } from '@rattanreel/observability';
import type { Admission } from '../admission/types';
import createRequestHandler from '../createRequestHandler';
import createRequestClassifier from '../decisions/createRequestClassifier';
import createRouteTable from '../decisions/createRouteTable';
import createServerEmbargo from '../decisions/createServerEmbargo';
import createCallerEndpoint from '../front/createCallerEndpoint';
import createRelayMetrics from '../front/createRelayMetrics';
import createRequestObserver from '../front/createRequestObserver';
import drainCallerEndpoint from '../front/drainCallerEndpoint';
import createLoopDelay from '../lateness/createLoopDelay';
import createStopDeadline from '../lateness/createStopDeadline';
import createTimeCheck from '../lateness/createTimeCheck';
import createServerConnections from '../servers/createServerConnections';
import type { AttemptFigures, ListedServer, RelayCustomer, Route } from '../types';
import headerNames from './headerNames';

const ROUTE: Route = {
  name: 'lookups',
  hostName: 'h',
  pathPrefix: '/',
  kind: 'idempotent',
  timeout: 4_000,
  objective: 400,
  tier: 0,
  targets: [{ pool: 'pool', weight: 1 }],
  maximumAttempts: 2,
  isAnonymous: true,
  isResumable: false,
};
const ONCE: Route = {
  ...ROUTE,
  name: 'orders',
  pathPrefix: '/order/',
  kind: 'once',
  isAnonymous: false,
};
const CUSTOMER: RelayCustomer = {
  name: 'customer',
  keys: ['key'],
  tier: undefined,
  quota: { ratePerSecond: 100, burst: 100, countsTokens: false, plainCost: 1 },
};

const STREAM: Route = { ...ROUTE, name: 'drafts', pathPrefix: '/draft/', kind: 'stream' };

/** Intervals of the reports to a scheduler and of the summaries to peers. */
const HOST_TIMERS: readonly Milliseconds[] = [150, 200];

interface TestRelayOptions {
  readonly clock: Clock;
  /** Port of the backend server. */
  readonly serverPort: number;
  readonly callerPort: number;
  /** Called after a slot was granted and the attempt began. */
  readonly onGranted?: () => void;
  /** Time for which each request waits for its slot; granted at once if absent. */
  readonly grantDelay?: Milliseconds;
  /** Discards all lines unless given. */
  readonly logger?: Logger;
}

/** Runs the front of a host over real sockets, with one server whose slots are always granted. */
export default async function createTestRelay(options: TestRelayOptions) {
  const { logger = silentLogger } = options;
  const loopDelay = createLoopDelay(options);
  const { clock } = loopDelay;
  const stopDeadline = createStopDeadline();
  const server: ListedServer = {
    id: 's1',
    pool: 'pool',
    address: `127.0.0.1:${options.serverPort}`,
    failureDomain: 'domain',
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldFor: 0,
    startedAt: undefined,
  };
  let isStopped = false;
  const completed: AttemptFigures[] = [];
  const counts = { granted: 0, released: 0, refunded: 0 };
  const admission: Admission = {
    requestSlot(request) {
      const grant = (): void => {
        counts.granted += 1;
        request.onGranted({
          server,
          view: { own: 0, others: 0, slowness: 1, failures: 0 },
          release() {
            counts.released += 1;
          },
          complete: (figures) => completed.push(figures),
          recordLoad: () => undefined,
          recordLeaving: () => undefined,
        });
        options.onGranted?.();
      };
      if (options.grantDelay === undefined) {
        grant();
        return () => undefined;
      }
      return clock.after(options.grantDelay, grant).cancel;
    },
    refund() {
      counts.refunded += 1;
    },
    trySpendRetry: () => true,
    recordRequest: () => undefined,
  };
  const ignore = (): void => undefined;
  const connections = createServerConnections({ loopDelay });
  const metrics = createRelayMetrics();
  const handler = createRequestHandler({
    context: { clock, random: createRandom(1), logger },
    names: { ...headerNames, reserved: new Set([headerNames.deadline]) },
    admission,
    embargo: createServerEmbargo(),
    crashGuard: {
      tryGetBlock: () => undefined,
      watch: () => ignore,
      recordArrival: ignore,
      recordAnswered: ignore,
      recordBroken: ignore,
      recordEnded: ignore,
    } as unknown as Parameters<typeof createRequestHandler>[0]['crashGuard'],
    serverLimits: { record: ignore } as unknown as Parameters<
      typeof createRequestHandler
    >[0]['serverLimits'],
    brittlePools: { record: ignore },
    classifier: createRequestClassifier(),
    connections,
    timeCheck: createTimeCheck({
      clock,
      random: createRandom(1),
      loopDelay,
      stopDeadline,
      isScheduledByOther: () => false,
    }),
    observer: createRequestObserver({
      logger,
      metrics,
      now: clock.now,
      stopDeadline,
      getBasis: () => ({
        configurationVersion: 1,
        serversVersion: 1,
        evacuatedVersion: 1,
        rosterVersion: 1,
        hosts: 0,
        oldest: 0,
      }),
    }),
    getRoutes: () => createRouteTable([ROUTE, ONCE, STREAM]),
    getCustomersByKey: () => new Map([['key', CUSTOMER]]),
  });
  const endpoint = createCallerEndpoint({
    clock,
    getArrivalTime: loopDelay.getArrivalTime,
    onConnection: loopDelay.recordConnection,
    getLimits: () => ({
      headerBytes: 16_384,
      bodyBytes: 64,
      headerTimeout: 3_000,
      idleTimeout: 5_000,
    }),
    onRequest: handler.handle,
    onTooLarge: handler.rejectTooLarge,
    onNoMemory: handler.refuseForMemory,
    onStopped: handler.refuseForStop,
  });
  /** Sets the timers that a host has in any case, which reveal its event loop delay. */
  const startTimer = (interval: Milliseconds): void => {
    clock.after(interval, () => {
      if (!isStopped) {
        startTimer(interval);
      }
    });
  };
  HOST_TIMERS.forEach(startTimer);
  await endpoint.listen(`127.0.0.1:${options.callerPort}`);
  return {
    endpoint,
    loopDelay,
    stopDeadline,
    counts,
    completed,
    scrape: metrics.scrape,
    drain: (gracePeriod: Milliseconds): Promise<void> =>
      drainCallerEndpoint({ clock, logger, endpoint, stopDeadline, gracePeriod }),
    async stop(): Promise<void> {
      isStopped = true;
      endpoint.close();
      await connections.close();
    },
  };
}
