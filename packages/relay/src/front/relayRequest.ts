import type { BackendServerId } from '@rattanreel/core';
import type { Attempt } from '../servers/types';
import type { AbortReason, AttemptFigures } from '../types';
import type { SlotGrant } from '../admission/types';
import failRequest from './failRequest';
import refuseOrFail from './refuseOrFail';
import createAttemptHistory from './createAttemptHistory';
import createDispatchMark from './createDispatchMark';
import createFirstDataWait from './createFirstDataWait';
import createQuarantineWatch from './createQuarantineWatch';
import createQuotaCharge from './createQuotaCharge';
import createResponseRelay from './createResponseRelay';
import decideAfterAttempt from './decideAfterAttempt';
import startAttempt from './startAttempt';
import type { Refusal, RelayRequestOptions } from './types';

/** Queues a request, dispatches its attempts and forwards its response, which is sent once. */
export default function relayRequest(options: RelayRequestOptions): void {
  const { clock, exchange, plan, pool, admission, observer } = options;
  const { route } = plan;
  const isRetryable = route.kind === 'idempotent' || route.isResumable;
  const dispatchMark = createDispatchMark({ requestId: plan.requestId, isRetryable });
  const response = createResponseRelay(plan, exchange);
  const attempts = createAttemptHistory(route);
  const charge = createQuotaCharge(admission, plan);
  let attempt: Attempt | undefined;
  let isDone = false;
  let cancelSlotRequest = (): void => undefined;

  const deadlineTimer = clock.after(Math.max(plan.deadlineAt - clock.now(), 0), () =>
    endEarly({ reason: 'deadlinePassed' }, 'timeout'),
  );
  const firstDataWait = createFirstDataWait(clock, route, () => attempt?.abort('silent'));
  const quarantineWatch = createQuarantineWatch({
    crashGuard: options.crashGuard,
    traits: plan.traits,
    requestId: plan.requestId,
    onQuarantined(refusal) {
      // A server that has not begun to answer would end when it does.
      if (!firstDataWait.hasData()) {
        endEarly(refusal, 'quarantined');
      }
    },
  });

  function finish(): void {
    isDone = true;
    deadlineTimer.cancel();
    firstDataWait.end();
    quarantineWatch.stop();
    dispatchMark.end();
  }

  /** Ends a request that has no attempt in flight. */
  function giveUp(refusal: Refusal): void {
    if (isDone) {
      return;
    }
    finish();
    const mayHaveRun = attempts.mayHaveRun();
    refuseOrFail({ ...options, response, mayHaveRun, refusal, refund: charge.refund });
  }

  /** Gives up a request that waits, or aborts its attempt. */
  function endEarly(refusal: Refusal, reason: AbortReason): void {
    if (attempt === undefined) {
      cancelSlotRequest();
      giveUp(refusal);
    } else {
      attempt.abort(reason);
    }
  }

  function requestSlot(): void {
    const refusal = quarantineWatch.tryGetRefusal();
    if (refusal !== undefined) {
      giveUp(refusal);
      return;
    }
    cancelSlotRequest = admission.requestSlot({
      ...plan,
      pool,
      customer: plan.customer?.name,
      cost: charge.getDue(),
      excludedServers: attempts.triedServers,
      onGranted: dispatch,
      onRefused: giveUp,
    });
  }

  function dispatch(grant: SlotGrant): void {
    const { id } = grant.server;
    charge.recordCharged();
    const refusal = quarantineWatch.tryGetRefusal();
    if (refusal !== undefined) {
      grant.release();
      giveUp(refusal);
      return;
    }
    if (!dispatchMark.trySet()) {
      finish();
      grant.release();
      options.sendFailure(502, 'dispatchedTwice');
      return;
    }
    observer.dispatched(plan, id, grant.view, attempts.begin(id));
    firstDataWait.start(isRetryable && attempts.getRemaining().hasAttemptsLeft);
    attempt = startAttempt({
      ...options,
      grant,
      response,
      onData: firstDataWait.recordData,
      onEnd(figures) {
        firstDataWait.end();
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
    observer.attemptEnded(plan, server, figures);
    if (isDone) {
      return;
    }
    const { end } = figures;
    attempts.end(end);
    const next = decideAfterAttempt({
      end,
      isRetryable,
      isCommitted: response.isCommitted(),
      canResume: route.isResumable,
      ...attempts.getRemaining(),
      trySpendRetry: () => admission.trySpendRetry(pool),
    });
    switch (next) {
      case 'complete':
        finish();
        response.finish();
        observer.completed(plan, server, figures);
        return;
      case 'repeatUnsent':
      case 'repeat':
        dispatchMark.tryRemoveUnsent();
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
