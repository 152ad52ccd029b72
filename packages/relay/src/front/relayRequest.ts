import { createRequestLifecycle } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { BackendServerId, Milliseconds, Timer } from '@rattanreel/core';
import type { AttemptFigures } from '../pools/types';
import type { Attempt } from '../servers/types';
import type { RefusalReason, ServerAccount, WaitingRequest } from '../types';
import endBroken from './endBroken';
import endUnserved from './endUnserved';
import createEventAnswer from './createEventAnswer';
import createResumableAnswer from './createResumableAnswer';
import createWholeAnswer from './createWholeAnswer';
import decideAfterAttempt from './decideAfterAttempt';
import startAttempt from './startAttempt';
import type { AnswerRelay, CallerExchange, RelayRequestOptions, RequestPlan } from './types';

/** Tries to connect, none of which wrote a byte, before a request is refused. */
const MOST_UNSENT = 4;
/** Objectives after which a silent server is given up, where the request may be repeated. */
const SILENT_OBJECTIVES = 3;
const SHORTEST_SILENCE: Milliseconds = 1_000;

function createAnswer(plan: RequestPlan, exchange: CallerExchange): AnswerRelay {
  if (plan.route.kind !== 'stream') {
    return createWholeAnswer(exchange);
  }
  return plan.route.isResumable ? createResumableAnswer(exchange) : createEventAnswer(exchange);
}

/** Takes an admitted request through waiting, attempts and its answer, which comes once. */
export default function relayRequest(options: RelayRequestOptions): void {
  const { clock, exchange, plan, desk, observer } = options;
  const { route } = plan;
  const isRepeatable = route.kind === 'idempotent' || route.isResumable;
  const lifecycle = createRequestLifecycle();
  const answer = createAnswer(plan, exchange);
  const tried = new Set<BackendServerId>();
  let sentAttempts = 0;
  let mayHaveRun = false;
  let unsentAttempts = 0;
  let attempt: Attempt | undefined;
  let silenceTimer: Timer | undefined;
  let isDone = false;

  const waiting: WaitingRequest = {
    id: plan.requestId,
    urgency: plan.urgency,
    outputTokens: plan.outputTokens,
    avoid: tried,
    onGranted: dispatch,
    onRefused: (reason) => giveUp(reason),
  };

  const endTimer = clock.after(Math.max(plan.endAt - clock.now(), 0), () => {
    if (attempt === undefined) {
      desk.withdraw(waiting);
      giveUp('deadlinePassed');
    } else {
      attempt.abort('timeout');
    }
  });

  function finish(): void {
    isDone = true;
    endTimer.cancel();
    silenceTimer?.cancel();
    lifecycle.tryEnd();
  }

  /** Ends a request that no backend server is running. */
  function giveUp(reason: RefusalReason): void {
    if (!isDone) {
      finish();
      endUnserved({ ...options, answer, mayHaveRun, reason });
    }
  }

  function ask(): void {
    const admission = desk.ask(waiting);
    if (admission.kind === 'refused') {
      giveUp(admission.reason);
    }
  }

  /** Moves the state of a request that may run once before a byte of it is written; false forbids it. */
  function tryMarkDispatched(): boolean {
    const isFirst = isRepeatable || (lifecycle.tryGrant() && lifecycle.tryDispatch());
    return Debug.invariant(isFirst, 'dispatched-twice', () => `request ${plan.requestId}`);
  }

  function watchSilence(): void {
    silenceTimer?.cancel();
    if (isRepeatable && sentAttempts < route.maximumAttempts) {
      const patience = Math.max(route.objective * SILENT_OBJECTIVES, SHORTEST_SILENCE);
      silenceTimer = clock.after(patience, () => attempt?.abort('silent'));
    }
  }

  function dispatch(server: ServerAccount): void {
    if (!tryMarkDispatched()) {
      finish();
      desk.withdrawGranted(server, plan.urgency.tier);
      options.failWith(502, 'dispatchedTwice');
      return;
    }
    tried.add(server.listed.id);
    sentAttempts += 1;
    observer.dispatched(plan, server, sentAttempts, desk.waiting);
    watchSilence();
    attempt = startAttempt({
      ...options,
      server,
      answer,
      onData: () => silenceTimer?.cancel(),
      onEnd(figures) {
        silenceTimer?.cancel();
        attempt = undefined;
        desk.noteEnded(server, plan.urgency.tier, figures);
        afterAttempt(server, figures);
      },
    });
    if (isDone) {
      attempt?.abort('callerGone');
    }
  }

  function afterAttempt(server: ServerAccount, figures: AttemptFigures): void {
    const { end } = figures;
    observer.attemptEnded(plan, server, end);
    if (isDone) {
      return;
    }
    if (end.kind === 'notConnected') {
      sentAttempts -= 1;
      unsentAttempts += 1;
    } else if (end.kind !== 'notRun') {
      mayHaveRun = true;
    }
    const next = decideAfterAttempt({
      end,
      isRepeatable,
      isCommitted: answer.isCommitted(),
      canResume: route.isResumable,
      hasAttemptsLeft: sentAttempts < route.maximumAttempts,
      hasUnsentLeft: unsentAttempts < MOST_UNSENT,
      tryRepeat: () => desk.tryRepeat(),
    });
    switch (next) {
      case 'complete':
        finish();
        answer.finish();
        observer.completed(plan, server, figures);
        return;
      case 'repeatUnsent':
        lifecycle.tryRequeueUnsent();
        ask();
        return;
      case 'repeat':
        ask();
        return;
      case 'refuse':
        giveUp(end.kind === 'notRun' ? 'serverFull' : 'notConnected');
        return;
      case 'fail':
        finish();
        endBroken({ ...options, answer, end });
        return;
      case 'nothing':
        finish();
        return;
      default:
        next satisfies never;
    }
  }

  exchange.onDrain(() => attempt?.resume());
  exchange.onGone(() => {
    if (isDone) {
      return;
    }
    finish();
    observer.callerGone(plan);
    desk.withdraw(waiting);
    attempt?.abort('callerGone');
  });
  desk.noteRequest();
  ask();
}
