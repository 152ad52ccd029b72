import type { IncomingMessage } from 'node:http';
import type { Milliseconds } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createRequestHandler from '../createRequestHandler';
import createRequestClassifier from '../decisions/createRequestClassifier';
import createRouteTable from '../decisions/createRouteTable';
import createRelayMetrics from '../front/createRelayMetrics';
import createRequestObserver from '../front/createRequestObserver';
import type { CallerExchange } from '../front/types';
import createStopDeadline from '../lateness/createStopDeadline';
import createTimeCheck from '../lateness/createTimeCheck';
import type { RelayCustomer, Route } from '../types';
import type createTestFleet from './createTestFleet';
import createHedging from '../hedging/createHedging';
import headerNames from './headerNames';
import type { TestCall, TestHost } from './types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;

const DEADLINE: Milliseconds = 4_000;
const RETRY_DELAY: Milliseconds = 150;
const DRAFTS: Route = {
  name: 'drafts',
  hostName: 'h',
  pathPrefix: '/',
  kind: 'stream',
  timeout: DEADLINE,
  objective: 400,
  tier: 0,
  targets: [{ pool: 'pool', weight: 1 }],
  maximumAttempts: 2,
  isAnonymous: true,
  isResumable: true,
};
const ROUTES: readonly Route[] = [
  DRAFTS,
  { ...DRAFTS, name: 'chats', pathPrefix: '/chat/', isAnonymous: false },
  { ...DRAFTS, name: 'lookups', pathPrefix: '/lookup/', kind: 'idempotent', isAnonymous: false },
  {
    ...DRAFTS,
    name: 'orders',
    pathPrefix: '/order/',
    kind: 'once',
    isAnonymous: false,
    isResumable: false,
  },
];
const CUSTOMERS = ['customer-a', 'customer-b'];
const NOT_RUN_STATUS = 503;

type TestHandler = ReturnType<typeof createRequestHandler>;

/** A caller's request and what its first attempt came to. */
interface CallerRequest {
  readonly host: TestHost;
  readonly sentAt: Milliseconds;
  /** When the caller sent its first attempt. */
  readonly firstSentAt: Milliseconds;
  readonly call: TestCall;
  /** Whether it is the caller's first attempt. */
  readonly isFirst: boolean;
  status?: number;
  retryAfter?: Milliseconds;
  answeredAt?: Milliseconds;
  isBroken?: boolean;
  isComplete?: boolean;
  /** When the caller gave up. */
  goneAt?: Milliseconds;
}

interface TestCallersOptions {
  readonly fleet: TestFleet;
  /** Share of the requests that hosts may send twice. */
  readonly hedgeLimit?: number;
  /** Routes in place of the usual ones. */
  readonly routes?: readonly Partial<Route>[];
  /** Time for which callers wait. */
  readonly deadline?: Milliseconds;
  /** Whether callers are connected to a host; by default to all. */
  readonly isCalled?: (host: TestHost) => boolean;
  /** Names of the customers; each one's key is its name. */
  readonly customers?: readonly string[];
  /** Objectives by the name of the route, where they differ from the usual one. */
  readonly objectives?: Readonly<Record<string, Milliseconds>>;
  /** Whether a second attempt waits only for what the first has left of the deadline. */
  readonly isDeadlineKept?: boolean;
  /** Whether each customer's connections all lead to one host. */
  readonly isSticky?: boolean;
  /** Called when an attempt has ended; callers then do not return after a refusal. */
  readonly onEnded?: (request: CallerRequest) => void;
}

/** Creates customers by key; each one's key is its name. */
function createCustomers(names: readonly string[]): ReadonlyMap<string, RelayCustomer> {
  return new Map(
    names.map((name) => [name, { name, keys: [name], tier: undefined, quota: undefined }]),
  );
}

function createRoutes({ routes, objectives = {} }: TestCallersOptions) {
  const all = routes?.map((route) => ({ ...DRAFTS, ...route })) ?? ROUTES;
  return createRouteTable(
    all.map((route) => ({ ...route, objective: objectives[route.name] ?? route.objective })),
  );
}

function mayBeCalled({ isDown, isFrozen, name }: TestHost, { hostName }: TestCall): boolean {
  return !isDown && !isFrozen && (hostName === undefined || name === hostName);
}

/** Creates callers whose requests pass the whole relay of a host, without sockets. */
export default function createTestCallers(options: TestCallersOptions) {
  const {
    fleet,
    hedgeLimit = 0,
    deadline: usualDeadline = DEADLINE,
    isCalled = () => true,
    customers = CUSTOMERS,
    isDeadlineKept = false,
    isSticky = false,
  } = options;
  const { clock, random } = fleet;
  const routes = createRoutes(options);
  const customersByKey = createCustomers(customers);
  const handlers = new Map<TestHost, TestHandler>();
  const requests: CallerRequest[] = [];
  let isRunning = true;

  function getHandler(host: TestHost): TestHandler {
    let handler = handlers.get(host);
    if (handler === undefined) {
      handler = createRequestHandler({
        context: { clock: host.loopDelay.clock, random, logger: silentLogger },
        names: headerNames,
        admission: host.core.admission,
        embargo: host.core.embargo,
        crashGuard: host.core.crashGuard,
        serverLimits: host.core.serverLimits,
        brittlePools: host.core.brittlePools,
        classifier: createRequestClassifier(),
        hedging: createHedging({ limit: hedgeLimit }),
        connections: host.core.forwarding.connections,
        timeCheck: createTimeCheck({
          clock,
          random,
          loopDelay: host.loopDelay,
          stopDeadline: createStopDeadline(),
          getExpectedDuration: ({ pool, outputTokens }) =>
            host.core.pools.getExpectedDuration(pool, outputTokens),
          isScheduledByOther: host.core.isScheduledByOther,
        }),
        observer: createRequestObserver({
          logger: silentLogger,
          metrics: createRelayMetrics(),
          now: clock.now,
          getBasis: () => ({ ...host.core.stateCache.getVersions(), hosts: 0, oldest: 0 }),
        }),
        getRoutes: () => routes,
        getCustomersByKey: () => customersByKey,
      });
      handlers.set(host, handler);
    }
    return handler;
  }

  function retry(request: CallerRequest): void {
    const isOrder = request.call.target?.startsWith('/order/') === true;
    if (request.isFirst && (!isOrder || request.status === NOT_RUN_STATUS)) {
      clock.after(request.retryAfter ?? RETRY_DELAY, () => send(request.call, request.firstSentAt));
    }
  }

  const { onEnded = retry } = options;

  function send(call: TestCall, firstSentAt: Milliseconds = clock.now()): void {
    const available = fleet.hosts.filter((each) => isCalled(each) && mayBeCalled(each, call));
    const hostIndex = isSticky
      ? Math.max(customers.indexOf(call.customer ?? ''), 0) % available.length
      : random.integer(0, available.length - 1);
    const host = available[hostIndex]!;
    const id = `request-${requests.length + 1}`;
    const { promptParts = [], target = '/', body = id, customer, deadline = usualDeadline } = call;
    const request: CallerRequest = {
      host,
      sentAt: clock.now(),
      firstSentAt,
      call: { ...call, body },
      isFirst: firstSentAt === clock.now(),
    };
    requests.push(request);
    const ownParts = [...promptParts, `own${requests.length}`].map((part) => `${part}:100`);
    const headers = {
      host: 'h',
      [headerNames.requestId]: id,
      [headerNames.deadline]: String(deadline - (isDeadlineKept ? clock.now() - firstSentAt : 0)),
      [headerNames.tokenCount]: '300,20',
      ...(promptParts.length > 0 && { [headerNames.promptParts]: ownParts.join(',') }),
      ...(customer !== undefined && { [headerNames.key]: customer }),
    };
    let isEnded = false;
    const createExchange = (): CallerExchange => ({
      method: 'POST',
      target,
      rawHeaders: Object.entries(headers).flat(),
      body: Buffer.from(body),
      arrivedAt: host.loopDelay.getArrivalTime() - (call.bodyTime ?? 0),
      sendHead(status, rawHeaders) {
        request.status = status;
        request.answeredAt = clock.now();
        const index = rawHeaders.indexOf('retry-after');
        request.retryAfter = index < 0 ? undefined : Number(rawHeaders[index + 1]) * 1_000;
      },
      sendData: () => true,
      tryBuffer: () => true,
      finish() {
        isEnded = true;
        request.isComplete = request.status === 200;
        if (!request.isComplete || options.onEnded !== undefined) {
          onEnded(request);
        }
      },
      abort() {
        isEnded = true;
        request.isBroken = true;
        onEnded(request);
      },
      onDisconnect(listener) {
        disconnect = listener;
      },
      onDrain: () => undefined,
    });
    let disconnect = (): void => undefined;
    host.loop.run('arrival', () =>
      getHandler(host).handle(createExchange(), { headers } as unknown as IncomingMessage),
    );
    if (call.deadline !== undefined) {
      clock.after(call.deadline, () => {
        if (!isEnded) {
          request.goneAt = clock.now();
          if (call.isLeftOpen !== true) {
            host.loop.run('arrival', () => disconnect());
          }
        }
      });
    }
  }

  return {
    requests,
    send: (call: TestCall) => send(call),
    /** Sends calls at random times, until `stop`. */
    sendOften(ratePerSecond: number, createCall: () => TestCall): void {
      const scheduleNext = (): void => {
        clock.after((-Math.log(1 - random.next()) * 1_000) / ratePerSecond, () => {
          if (isRunning) {
            send(createCall());
            scheduleNext();
          }
        });
      };
      scheduleNext();
    },
    stop(): void {
      isRunning = false;
    },
  };
}
