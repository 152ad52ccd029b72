import type { Dispatcher } from 'undici';
import { isDelimitedByClose } from '@rattanreel/connections';
import type { TrackedConnector } from '@rattanreel/connections';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { AbortReason, AttemptOutcome } from '../types';
import type { LoopDelay } from '../lateness/types';
import toUnsentOutcome from '../lateness/toUnsentOutcome';
import updateDeadlineHeader from '../lateness/updateDeadlineHeader';
import tryParseRetryAfter from './tryParseRetryAfter';
import type { ResponseHead, Attempt, AttemptRequest, AttemptSink } from './types';

/**
 * Maximum wait until the request can be written; a reachable server accepts within milliseconds.
 */
const SEND_TIMEOUT: Milliseconds = 400;
/**
 * Longest time from dispatch to write: half of the 500 ms by which the time left that a server is
 * told may exceed the caller's. The client takes the headers at dispatch, before it waits for a
 * connection or for the event loop; a request that waited longer is dispatched again, after the
 * disconnects that are pending. On a busy small host a shorter limit sent most requests twice or more.
 */
const MAXIMUM_DISPATCH_AGE: Milliseconds = 250;
const MAXIMUM_DISPATCHES = 4;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;

interface SendOnceOptions {
  readonly dispatcher: Dispatcher;
  readonly request: AttemptRequest;
  readonly sink: AttemptSink;
  readonly clock: Clock;
  /** Opens the connections of the dispatcher. */
  readonly connector: Pick<TrackedConnector, 'isReset' | 'pause'>;
  readonly loopDelay: Pick<LoopDelay, 'afterPendingEvents' | 'afterSilence'>;
}

/** Returns why a response does not belong to the request; undefined if it does. */
function tryGetMismatch(head: ResponseHead, request: AttemptRequest): string | undefined {
  const echoed = head.headers[request.requestIdHeader];
  if (echoed !== undefined) {
    return echoed === request.requestId ? undefined : 'answer to another request';
  }
  const isSuccess = head.status >= HTTP_OK && head.status < HTTP_MULTIPLE_CHOICES;
  return isSuccess ? 'success without the request identifier' : undefined;
}

function hasNotRunMark(head: ResponseHead, request: AttemptRequest): boolean {
  return head.status === HTTP_MISDIRECTED || head.headers[request.notRunHeader] !== undefined;
}

/**
 * Sends a request to one backend server, once. Nothing is written after its deadline or its abort. A
 * response that names another request is discarded together with its connection, since further data
 * on it cannot be attributed to any request.
 */
export default function sendOnce(options: SendOnceOptions): Attempt {
  const { dispatcher, request, sink, clock, connector, loopDelay } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: ResponseHead | undefined;
  let isNotRun = false;
  let isEnded = false;
  let dispatches = 0;
  let isOutdated = false;
  let resumeReading: (() => void) | undefined;

  function resume(): void {
    resumeReading?.();
    resumeReading = undefined;
  }

  const sendTimer = loopDelay.afterSilence(SEND_TIMEOUT, () => end({ kind: 'notConnected' }));

  function end(outcome: AttemptOutcome): void {
    if (isEnded) {
      return;
    }
    isEnded = true;
    sendTimer.cancel();
    // The connection may be used for another request.
    resume();
    sink.onEnd(outcome);
  }

  function createNotRun({ status, headers }: ResponseHead): AttemptOutcome {
    const retryAfter =
      status === HTTP_UNAVAILABLE
        ? tryParseRetryAfter(headers[request.retryAfterHeader])
        : undefined;
    return { kind: 'notRun', status, retryAfter };
  }

  /**
   * Ends the attempt and closes its connection, so that the server stops working on the request.
   */
  function abortWith(outcome: AttemptOutcome): void {
    end(outcome);
    controller?.abort(new Error(outcome.kind));
  }

  function createHeaders(): string[] {
    const { headers, deadline } = request;
    return deadline === undefined
      ? [...headers]
      : updateDeadlineHeader(headers, deadline.header, deadline.at - clock.now());
  }

  /**
   * Stops a request whose time is over before its first byte is written: an error that is thrown in
   * `onRequestStart` leaves the connection open and unused.
   */
  function checkBeforeWrite(dispatchedAt: Milliseconds): void {
    const { deadline } = request;
    if (deadline !== undefined && clock.now() >= deadline.at) {
      end({ kind: 'notSent', reason: 'deadlinePassed' });
    }
    if (isEnded) {
      throw new Error('attempt ended before the request was sent');
    }
    const isOld = clock.now() - dispatchedAt > MAXIMUM_DISPATCH_AGE;
    isOutdated = deadline !== undefined && isOld && dispatches < MAXIMUM_DISPATCHES;
    if (isOutdated) {
      throw new Error('deadline header out of date');
    }
  }

  function dispatch(): void {
    if (isEnded) {
      return;
    }
    const dispatchedAt = clock.now();
    dispatches += 1;
    dispatcher.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: createHeaders(),
        body: request.body.length === 0 ? null : request.body,
        idempotent: false,
      },
      {
        onRequestStart(started) {
          checkBeforeWrite(dispatchedAt);
          controller = started;
          sendTimer.cancel();
        },
        onResponseStart(_, status, headers) {
          if (status < HTTP_OK || isEnded) {
            return;
          }
          head = { status, headers, isDelimitedByClose: isDelimitedByClose(status, headers) };
          const mismatch = tryGetMismatch(head, request);
          if (mismatch !== undefined) {
            abortWith({ kind: 'broken', reason: mismatch });
            return;
          }
          isNotRun = hasNotRunMark(head, request);
          sink.onHead(head);
        },
        onResponseData(_, chunk) {
          if (!isEnded && !isNotRun && !sink.onData(chunk)) {
            resumeReading ??= connector.pause();
          }
        },
        onResponseEnd() {
          if (head === undefined) {
            return;
          }
          if (!isNotRun && head.isDelimitedByClose && connector.isReset()) {
            end({ kind: 'broken', reason: 'reset before the end' });
            return;
          }
          end(isNotRun ? createNotRun(head) : { kind: 'whole', status: head.status });
        },
        onResponseError(_, error) {
          if (isOutdated) {
            isOutdated = false;
            loopDelay.afterPendingEvents(dispatch, true);
          } else if (controller === undefined) {
            end({ kind: 'notConnected' });
          } else if (isNotRun && head !== undefined) {
            end(createNotRun(head));
          } else {
            end({ kind: 'broken', reason: error.message });
          }
        },
      },
    );
  }

  loopDelay.afterPendingEvents(dispatch);

  return {
    abort(reason: AbortReason) {
      const isUnsent = controller === undefined && !isEnded;
      abortWith(isUnsent ? toUnsentOutcome(reason) : { kind: 'aborted', reason });
    },
    resume,
  };
}
