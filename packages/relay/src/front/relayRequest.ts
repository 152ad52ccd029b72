import { createRequestLifecycle } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { BackendServerId, Milliseconds, Timer } from '@rattanreel/core';
import type { AttemptFigures } from '../pools/types';
import type { Attempt } from '../servers/types';
import type { RefusalReason, ServerState, QueuedRequest } from '../types';
import failRequest from './failRequest';
import refuseOrFail from './refuseOrFail';
import createStreamedResponse from './createStreamedResponse';
import createResumableResponse from './createResumableResponse';
import createBufferedResponse from './createBufferedResponse';
import decideAfterAttempt from './decideAfterAttempt';
import startAttempt from './startAttempt';
import type { ResponseRelay, CallerExchange, RelayRequestOptions, RequestPlan } from './types';

/** Failed connection attempts, none of which wrote a byte, before a request is refused. */
const MAXIMUM_CONNECT_FAILURES = 4;
/**
 * Multiple of the route's objective after which an attempt without any data is aborted, if the
 * request may be retried.
 */
const FIRST_DATA_TIMEOUT_OBJECTIVES = 3;
const MINIMUM_FIRST_DATA_TIMEOUT: Milliseconds = 1_000;

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
  const { clock, exchange, plan, queue, observer } = options;
  const { route } = plan;
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

  const queuedRequest: QueuedRequest = {
    id: plan.requestId,
    priority: plan.priority,
    outputTokens: plan.outputTokens,
    excludedServers: triedServers,
    onGranted: dispatch,
    onRefused: (reason) => giveUp(reason),
  };

  const deadlineTimer = clock.after(Math.max(plan.deadlineAt - clock.now(), 0), () => {
    if (attempt === undefined) {
      queue.cancel(queuedRequest);
      giveUp('deadlinePassed');
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
  function giveUp(reason: RefusalReason): void {
    if (!isDone) {
      finish();
      refuseOrFail({ ...options, response, mayHaveRun, reason });
    }
  }

  function enqueue(): void {
    const admission = queue.enqueue(queuedRequest);
    if (admission.kind === 'refused') {
      giveUp(admission.reason);
    }
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
      const firstDataTimeout = Math.max(
        route.objective * FIRST_DATA_TIMEOUT_OBJECTIVES,
        MINIMUM_FIRST_DATA_TIMEOUT,
      );
      firstDataTimer = clock.after(firstDataTimeout, () => attempt?.abort('silent'));
    }
  }

  function dispatch(server: ServerState): void {
    if (!tryMarkDispatched()) {
      finish();
      queue.releaseUnusedSlot(server, plan.priority.tier);
      options.sendFailure(502, 'dispatchedTwice');
      return;
    }
    triedServers.add(server.listed.id);
    sentAttempts += 1;
    observer.dispatched(plan, server, sentAttempts, queue.size);
    startFirstDataTimer();
    attempt = startAttempt({
      ...options,
      server,
      response,
      onData: () => firstDataTimer?.cancel(),
      onEnd(figures) {
        firstDataTimer?.cancel();
        attempt = undefined;
        queue.completeAttempt(server, plan.priority.tier, figures);
        handleAttemptEnd(server, figures);
      },
    });
    if (isDone) {
      attempt?.abort('callerGone');
    }
  }

  function handleAttemptEnd(server: ServerState, figures: AttemptFigures): void {
    const { end } = figures;
    observer.attemptEnded(plan, server, end);
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
      trySpendRetry: () => queue.trySpendRetry(),
    });
    switch (next) {
      case 'complete':
        finish();
        response.finish();
        observer.completed(plan, server, figures);
        return;
      case 'repeatUnsent':
        lifecycle.tryRequeueUnsent();
        enqueue();
        return;
      case 'repeat':
        enqueue();
        return;
      case 'refuse':
        giveUp(end.kind === 'notRun' ? 'serverFull' : 'notConnected');
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
    queue.cancel(queuedRequest);
    attempt?.abort('callerGone');
  });
  queue.recordRequest();
  enqueue();
}
