import { createRequestLifecycle } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { BackendServerId, Timer } from '@rattanreel/core';
import type { AttemptFigures } from '../pools/types';
import type { Attempt } from '../servers/types';
import type { SlotGrant } from '../admission/types';
import failRequest from './failRequest';
import getFirstDataTimeout from './getFirstDataTimeout';
import refuseOrFail from './refuseOrFail';
import createStreamedResponse from './createStreamedResponse';
import createResumableResponse from './createResumableResponse';
import createBufferedResponse from './createBufferedResponse';
import decideAfterAttempt from './decideAfterAttempt';
import startAttempt from './startAttempt';
import type {
  CallerExchange,
  Refusal,
  RelayRequestOptions,
  RequestPlan,
  ResponseRelay,
} from './types';

/** Failed connection attempts, none of which wrote a byte, before a request is refused. */
const MAXIMUM_CONNECT_FAILURES = 4;
function createResponseRelay(plan: RequestPlan, exchange: CallerExchange): ResponseRelay {
  if (plan.route.kind !== 'stream') {
    return createBufferedResponse(exchange);
  }
  return plan.route.isResumable
    ? createResumableResponse(exchange)
    : createStreamedResponse(exchange);
}

/** Queues a request, dispatches its attempts and forwards its response, which is sent once. */
export default function relayRequest(options: RelayRequestOptions): void {
  const { clock, exchange, plan, pool, admission, observer } = options;
  const { route, customer } = plan;
  const isRetryable = route.kind === 'idempotent' || route.isResumable;
  const lifecycle = createRequestLifecycle();
  const response = createResponseRelay(plan, exchange);
  const triedServers = new Set<BackendServerId>();
  let sentAttempts = 0;
  let mayHaveRun = false;
  let connectFailures = 0;
  let attempt: Attempt | undefined;
  let firstDataTimer: Timer | undefined;
  let isDone = false;
  /** Whether the customer's quota is charged with this request. */
  let isCharged = false;
  let cancelSlotRequest = (): void => undefined;

  const deadlineTimer = clock.after(Math.max(plan.deadlineAt - clock.now(), 0), () => {
    if (attempt === undefined) {
      cancelSlotRequest();
      giveUp({ reason: 'deadlinePassed' });
    } else {
      attempt.abort('timeout');
    }
  });

  function finish(): void {
    isDone = true;
    deadlineTimer.cancel();
    firstDataTimer?.cancel();
    lifecycle.tryEnd();
  }

  /** Ends a request that has no attempt in flight. */
  function giveUp(refusal: Refusal): void {
    if (isDone) {
      return;
    }
    finish();
    if (isCharged && !mayHaveRun && customer !== undefined) {
      admission.refund(customer.name, plan.cost);
    }
    refuseOrFail({ ...options, response, mayHaveRun, refusal });
  }

  function requestSlot(): void {
    cancelSlotRequest = admission.requestSlot({
      ...plan,
      pool,
      customer: customer?.name,
      cost: isCharged ? 0 : plan.cost,
      excludedServers: triedServers,
      onGranted: dispatch,
      onRefused: giveUp,
    });
  }

  /**
   * Marks a request that may run only once as dispatched, before its first byte is written. Returns
   * false when the request must not be dispatched.
   */
  function tryMarkDispatched(): boolean {
    const isFirst = isRetryable || (lifecycle.tryGrant() && lifecycle.tryDispatch());
    return Debug.invariant(isFirst, 'dispatched-twice', () => `request ${plan.requestId}`);
  }

  function startFirstDataTimer(): void {
    firstDataTimer?.cancel();
    if (isRetryable && sentAttempts < route.maximumAttempts) {
      firstDataTimer = clock.after(getFirstDataTimeout(route), () => attempt?.abort('silent'));
    }
  }

  function dispatch(grant: SlotGrant): void {
    const { id } = grant.server;
    if (!tryMarkDispatched()) {
      finish();
      grant.release();
      options.sendFailure(502, 'dispatchedTwice');
      return;
    }
    isCharged = true;
    triedServers.add(id);
    sentAttempts += 1;
    observer.dispatched(plan, id, grant.view, sentAttempts);
    startFirstDataTimer();
    attempt = startAttempt({
      ...options,
      grant,
      response,
      onData: () => firstDataTimer?.cancel(),
      onEnd(figures) {
        firstDataTimer?.cancel();
        attempt = undefined;
        grant.complete(figures);
        handleAttemptEnd(id, figures);
      },
    });
    if (isDone) {
      attempt?.abort('callerGone');
    }
  }

  function handleAttemptEnd(server: BackendServerId, figures: AttemptFigures): void {
    const { end } = figures;
    observer.attemptEnded(plan, server, figures);
    if (isDone) {
      return;
    }
    if (end.kind === 'notConnected') {
      sentAttempts -= 1;
      connectFailures += 1;
    } else if (end.kind !== 'notRun') {
      mayHaveRun = true;
    }
    const next = decideAfterAttempt({
      end,
      isRetryable,
      isCommitted: response.isCommitted(),
      canResume: route.isResumable,
      hasAttemptsLeft: sentAttempts < route.maximumAttempts,
      hasConnectAttemptsLeft: connectFailures < MAXIMUM_CONNECT_FAILURES,
      trySpendRetry: () => admission.trySpendRetry(pool),
    });
    switch (next) {
      case 'complete':
        finish();
        response.finish();
        observer.completed(plan, server, figures);
        return;
      case 'repeatUnsent':
        lifecycle.tryRequeueUnsent();
        requestSlot();
        return;
      case 'repeat':
        requestSlot();
        return;
      case 'refuse':
        giveUp({ reason: end.kind === 'notRun' ? 'serverFull' : 'notConnected' });
        return;
      case 'fail':
        finish();
        failRequest({ ...options, response, end });
        return;
      case 'nothing':
        finish();
        return;
      default:
        next satisfies never;
    }
  }

  exchange.onDrain(() => attempt?.resume());
  exchange.onDisconnect(() => {
    if (isDone) {
      return;
    }
    finish();
    observer.callerGone(plan);
    cancelSlotRequest();
    attempt?.abort('callerGone');
  });
  admission.recordRequest(pool);
  requestSlot();
}
