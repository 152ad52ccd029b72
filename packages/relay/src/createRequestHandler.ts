import type { IncomingMessage } from 'node:http';
import type { CustomerId, Milliseconds, PoolId, Random } from '@rattanreel/core';
import getRetryDelay from './decisions/getRetryDelay';
import getTimeLimit from './front/getTimeLimit';
import planRequest from './front/planRequest';
import relayRequest from './front/relayRequest';
import sendProblem from './front/sendProblem';
import type {
  CallerExchange,
  Refusal,
  Rejection,
  RequestObserver,
  RequestPlan,
} from './front/types';
import type { HeaderNames, RelayContext, RelayCustomer, RouteTarget } from './types';
import type { Admission } from './admission/types';
import type { RequestClassifier, RouteTable, ServerEmbargo } from './decisions/types';
import type { BrittlePools, ServerLimits } from './limits/types';
import type { CrashGuard } from './crashes/types';
import createHedging from './hedging/createHedging';
import type { Hedging } from './hedging/types';
import type { TimeCheck } from './lateness/types';
import type { ServerConnections } from './servers/types';

/** Callers honour a `retry-after` of at most this fraction of their remaining time. */
const MAXIMUM_RETRY_FRACTION = 1 / 3;

interface RequestHandlerOptions {
  readonly context: RelayContext;
  readonly names: HeaderNames;
  readonly admission: Admission;
  readonly embargo: ServerEmbargo;
  readonly crashGuard: CrashGuard;
  readonly serverLimits: ServerLimits;
  readonly brittlePools: Pick<BrittlePools, 'record'>;
  readonly classifier: RequestClassifier;
  readonly connections: ServerConnections;
  /** Off unless given. */
  readonly hedging?: Hedging;
  readonly timeCheck: TimeCheck;
  readonly observer: RequestObserver;
  /** Called once when a request begins to run; absent where nobody counts. */
  readonly onBegun?: (customer: CustomerId | undefined) => void;
  readonly getRoutes: () => RouteTable | undefined;
  readonly getCustomersByKey: () => ReadonlyMap<string, RelayCustomer> | undefined;
}

interface RequestHandler {
  handle(exchange: CallerExchange, incoming: IncomingMessage): void;
  /** Returns the time within which all of a request must arrive. */
  getTimeLimit(incoming: IncomingMessage): Milliseconds;
  rejectTooLarge(exchange: CallerExchange): void;
  /** Rejects a request whose body has not arrived within its time. */
  rejectLate(exchange: CallerExchange, incoming: IncomingMessage): void;
  /** Refuses a request whose body was discarded. */
  refuseForMemory(exchange: CallerExchange, incoming: IncomingMessage): void;
  /** Refuses a request whose body had not arrived when the grace period ended. */
  refuseForStop(exchange: CallerExchange, incoming: IncomingMessage): void;
}

/** Chooses a target at random, in proportion to the weights. */
function chooseTarget(targets: readonly RouteTarget[], random: Random): PoolId {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  const chosen = targets.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (chosen ?? targets.at(-1)!).pool;
}

/** Creates a function that calls `action` the first time only. */
function createSingleCall(action: () => void): () => void {
  let isCalled = false;
  return () => {
    if (!isCalled) {
      isCalled = true;
      action();
    }
  };
}

/** Creates the handler that rejects, refuses or relays each caller's request. */
export default function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { context, names, classifier, observer } = options;
  const { clock, random } = context;
  const hedging = options.hedging ?? createHedging({ limit: 0 });

  function refuse(
    exchange: CallerExchange,
    plan: RequestPlan,
    { reason, retryAfter: requestedDelay, pool, quota }: Refusal,
  ): void {
    const remainingTime = plan.deadlineAt - clock.now();
    const retryAfter = Math.min(
      requestedDelay ?? getRetryDelay(remainingTime, random),
      remainingTime * MAXIMUM_RETRY_FRACTION,
    );
    // A quarantined request is no sign that its route's callers return.
    if (reason !== 'quarantined') {
      classifier.recordRefusal(plan.route.name, clock.now());
    }
    observer.refused(plan, reason, Math.round(retryAfter), { pool, quota });
    sendProblem(exchange, {
      status: reason === 'overQuota' ? 429 : 503,
      code: reason,
      execution: 'not-run',
      retryAfter: remainingTime > 0 ? retryAfter : undefined,
    });
  }

  function relay(exchange: CallerExchange, plan: RequestPlan): void {
    relayRequest({
      clock,
      exchange,
      plan,
      pool: chooseTarget(plan.route.targets, random),
      admission: options.admission,
      embargo: options.embargo,
      crashGuard: options.crashGuard,
      serverLimits: options.serverLimits,
      brittlePools: options.brittlePools,
      connections: options.connections,
      hedging,
      timeCheck: options.timeCheck,
      names,
      observer,
      onBegun: createSingleCall(() => options.onBegun?.(plan.customer?.name)),
      refuse: (refusal) => refuse(exchange, plan, refusal),
      sendFailure(status, code) {
        observer.failed(plan, status, code);
        sendProblem(exchange, { status, code, execution: 'may-have-run' });
      },
    });
  }

  /** Plans a request and hands it on, unless it is rejected. */
  function planAndHandle(
    exchange: CallerExchange,
    incoming: IncomingMessage,
    onPlanned: (exchange: CallerExchange, plan: RequestPlan) => void,
  ): void {
    const planResult = planRequest({
      headers: incoming.headers,
      exchange,
      names,
      routes: options.getRoutes(),
      customersByKey: options.getCustomersByKey(),
      classifier,
      random,
    });
    if (planResult.kind === 'ok') {
      onPlanned(exchange, planResult.plan);
      return;
    }
    reject(exchange, incoming, planResult.rejection);
  }

  function reject(exchange: CallerExchange, incoming: IncomingMessage, rejection: Rejection): void {
    const id = incoming.headers[names.requestId];
    observer.rejected(typeof id === 'string' ? id : '', rejection);
    sendProblem(exchange, { ...rejection, execution: 'not-run' });
  }

  return {
    handle: (exchange, incoming) => planAndHandle(exchange, incoming, relay),
    refuseForMemory: (exchange, incoming) =>
      planAndHandle(exchange, incoming, (_, planned) =>
        refuse(exchange, planned, { reason: 'noMemory' }),
      ),
    refuseForStop: (exchange, incoming) =>
      planAndHandle(exchange, incoming, (_, planned) =>
        refuse(exchange, planned, { reason: 'stopping' }),
      ),
    getTimeLimit: ({ url = '/', headers }) =>
      getTimeLimit({ headers, target: url, names, routes: options.getRoutes() }),
    rejectLate: (exchange, incoming) =>
      reject(exchange, incoming, { status: 408, code: 'bodyLate' }),
    rejectTooLarge(exchange) {
      observer.rejected('', { status: 413, code: 'bodyTooLarge' });
      sendProblem(exchange, { status: 413, code: 'bodyTooLarge', execution: 'not-run' });
    },
  };
}
