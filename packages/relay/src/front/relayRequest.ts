import type { AbortReason } from '../types';
import type { SlotGrant } from '../admission/types';
import createHedgedAttempts from '../hedging/createHedgedAttempts';
import type { FinalCopy } from '../hedging/types';
import failRequest from './failRequest';
import refuseOrFail from './refuseOrFail';
import createAttemptHistory from './createAttemptHistory';
import createDispatchMark from './createDispatchMark';
import createFirstDataWait from './createFirstDataWait';
import createRequestGuard from './createRequestGuard';
import createQuotaCharge from './createQuotaCharge';
import getAttemptPriority from './getAttemptPriority';
import createResponseRelay from './createResponseRelay';
import decideAfterAttempt from './decideAfterAttempt';
import getRefusalReason from './getRefusalReason';
import startAttempt from './startAttempt';
import startDeadlineTimer from './startDeadlineTimer';
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
  let isDone = false;
  let cancelSlotRequest = (): void => undefined;

  const deadlineTimer = startDeadlineTimer({
    ...options,
    response,
    onPassed: () => endEarly({ reason: 'deadlinePassed' }, 'timeout'),
  });
  const copies = createHedgedAttempts({
    ...options,
    response,
    attempts,
    startCopy: (copy) => startAttempt({ ...options, ...copy }),
    onSend({ server, view }) {
      observer.dispatched(plan, server.id, view, attempts.begin(server.id));
      firstDataWait.start(isRetryable && attempts.getRemaining().hasAttemptsLeft);
    },
    onData: () => firstDataWait.recordData(),
    onEnd: handleEnd,
  });
  const firstDataWait = createFirstDataWait(clock, route, () => copies.abort('silent'));
  const guard = createRequestGuard({ ...options, attempts, copies, onRefused: endEarly });

  function finish(): void {
    isDone = true;
    deadlineTimer.cancel();
    firstDataWait.end();
    copies.stop();
    guard.stop();
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
    if (copies.isRunning()) {
      copies.abort(reason);
    } else {
      cancelSlotRequest();
      giveUp(refusal);
    }
  }

  function requestSlot(): void {
    const refusal = guard.tryRefuseAdmission();
    if (refusal !== undefined) {
      giveUp(refusal);
      return;
    }
    const mayHaveRun = attempts.mayHaveRun();
    cancelSlotRequest = admission.requestSlot({
      ...plan,
      priority: getAttemptPriority({ plan, mayHaveRun, now: clock.now() }),
      pool,
      customer: plan.customer?.name,
      cost: charge.getDue(),
      excludedServers: attempts.triedServers,
      onGranted: dispatch,
      onRefused: giveUp,
    });
  }

  function dispatch(grant: SlotGrant): void {
    charge.recordCharged();
    const refusal = guard.tryRefuseDispatch();
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
    copies.start(grant);
    if (isDone) {
      copies.abort('callerGone');
    }
  }

  function handleEnd({ server, figures, open }: FinalCopy): void {
    firstDataWait.end();
    const { end } = figures;
    if (isDone) {
      charge.refundUnsent(end, attempts.mayHaveRun());
      return;
    }
    const next = decideAfterAttempt({
      end,
      isRetryable,
      isCommitted: response.isCommitted(),
      canResume: response.canResume(),
      ...attempts.getRemaining(),
      trySpendRetry: () => admission.trySpendRetry(pool),
    });
    switch (next) {
      case 'complete':
        finish();
        open();
        response.finish();
        observer.completed(plan, server, figures);
        return;
      case 'repeatUnsent':
      case 'repeat':
        dispatchMark.tryRemoveUnsent();
        requestSlot();
        return;
      case 'refuse':
        dispatchMark.tryRemoveUnsent();
        giveUp({ reason: getRefusalReason(end) });
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

  exchange.onDrain(copies.resume);
  exchange.onDisconnect(() => {
    if (isDone) {
      return;
    }
    finish();
    observer.callerGone(plan);
    cancelSlotRequest();
    copies.abort('callerGone');
  });
  admission.recordRequest(pool);
  requestSlot();
}
