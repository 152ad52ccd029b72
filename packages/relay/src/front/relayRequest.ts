import { createRequestLifecycle } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { BackendServerId, Clock, Milliseconds, Timer } from '@rattanreel/core';
import type { AttemptFigures, PoolDesk } from '../pools/types';
import type { ServerConnections } from '../servers/createServerConnections';
import type { Attempt } from '../servers/types';
import type {
  AttemptEnd,
  HeaderNames,
  RefusalReason,
  ServerAccount,
  WaitingRequest,
} from '../types';
import createAttemptHeaders from './createAttemptHeaders';
import createAttemptMeter from './createAttemptMeter';
import createEventAnswer from './createEventAnswer';
import createResumableAnswer from './createResumableAnswer';
import createWholeAnswer from './createWholeAnswer';
import decideAfterAttempt from './decideAfterAttempt';
import tryReadLoad from './tryReadLoad';
import type { AnswerRelay } from './relayTypes';
import type { RequestObserver } from './observerTypes';
import type { CallerExchange, RequestPlan } from './types';

/** Tries to connect, none of which wrote a byte, before a request is refused. */
const MOST_UNSENT = 4;
/** Objectives after which a silent server is given up, where the request may be repeated. */
const SILENT_OBJECTIVES = 3;
const SHORTEST_SILENCE: Milliseconds = 1_000;

export interface RelayRequestOptions {
  readonly clock: Clock;
  readonly exchange: CallerExchange;
  readonly plan: RequestPlan;
  readonly desk: PoolDesk;
  readonly connections: ServerConnections;
  readonly names: HeaderNames;
  readonly observer: RequestObserver;
  /** Refuses the request with the truth that it has not run. */
  readonly refuse: (reason: RefusalReason) => void;
  /** Answers that the request failed and may have run. */
  readonly failWith: (status: 502 | 504, code: string) => void;
}

function createAnswer(plan: RequestPlan, exchange: CallerExchange): AnswerRelay {
  if (plan.route.kind !== 'stream') {
    return createWholeAnswer(exchange);
  }
  return plan.route.isResumable ? createResumableAnswer(exchange) : createEventAnswer(exchange);
}

/** Takes an admitted request through waiting, attempts and its answer, which comes once. */
export default function relayRequest(options: RelayRequestOptions): void {
  const { clock, exchange, plan, desk, connections, names, observer } = options;
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
    size: { promptTokens: plan.promptTokens, outputTokens: plan.outputTokens },
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
    if (isDone) {
      return;
    }
    finish();
    if (answer.isCommitted()) {
      exchange.breakOff();
    } else if (!mayHaveRun) {
      options.refuse(reason);
    } else {
      options.failWith(reason === 'deadlinePassed' ? 504 : 502, reason);
    }
  }

  function failSent(end: AttemptEnd): void {
    finish();
    const isTimeout = end.kind === 'aborted' && end.reason === 'timeout';
    if (answer.isCommitted()) {
      observer.brokenOff(plan, isTimeout ? 'timeout' : 'serverBroke');
      exchange.breakOff();
    } else {
      options.failWith(isTimeout ? 504 : 502, isTimeout ? 'timeout' : 'serverBroke');
    }
  }

  function ask(): void {
    const admission = desk.ask(waiting);
    if (admission.kind === 'refused') {
      giveUp(admission.reason);
    }
  }

  /** Moves the state of a request that may run once before a byte of it is written. */
  function markDispatched(): void {
    if (isRepeatable) {
      return;
    }
    const isFirst = lifecycle.tryGrant() && lifecycle.tryDispatch();
    Debug.invariant(isFirst, 'dispatched-twice', () => `request ${plan.requestId}`);
  }

  function watchSilence(): void {
    silenceTimer?.cancel();
    if (isRepeatable && sentAttempts < route.maximumAttempts) {
      const patience = Math.max(route.objective * SILENT_OBJECTIVES, SHORTEST_SILENCE);
      silenceTimer = clock.after(patience, () => attempt?.abort('silent'));
    }
  }

  function dispatch(server: ServerAccount): void {
    const { listed } = server;
    tried.add(listed.id);
    sentAttempts += 1;
    markDispatched();
    observer.dispatched(plan, server, sentAttempts, desk.waiting);
    const meter = createAttemptMeter(clock);
    watchSilence();
    const headers = createAttemptHeaders({
      exchange,
      plan,
      names,
      server: listed.id,
      now: clock.now(),
      resumeAfter: answer.resumeAfter(),
    });
    let isAnswer = true;
    attempt = connections.send(
      listed,
      {
        requestId: plan.requestId,
        method: exchange.method,
        target: exchange.target,
        headers,
        body: exchange.body,
        requestIdHeader: names.requestId,
        notRunHeader: names.notRun,
      },
      {
        onHead(head) {
          const load = tryReadLoad(head.headers[names.load]);
          if (load !== undefined) {
            desk.noteLoad(server, load.running, load.waiting);
          }
          // A resumed stream goes on only with events; anything else is no part of it.
          isAnswer = !answer.isCommitted() || head.status === 200;
          if (isAnswer) {
            answer.onHead(head);
          }
        },
        onData(chunk) {
          meter.noteChunk();
          silenceTimer?.cancel();
          return isAnswer ? answer.onData(chunk) : true;
        },
        onEnd(end) {
          silenceTimer?.cancel();
          const own: AttemptEnd =
            end.kind === 'whole' && !isAnswer ? { kind: 'broken', reason: 'not resumed' } : end;
          attempt = undefined;
          const figures = meter.read(own);
          desk.noteEnded(server, plan.urgency.tier, figures);
          afterAttempt(server, figures);
        },
      },
    );
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
        failSent(end);
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
