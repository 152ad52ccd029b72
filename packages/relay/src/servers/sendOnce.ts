import type { Dispatcher } from 'undici';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type { AbortReason, AttemptOutcome } from '../types';
import tryParseRetryAfter from './tryParseRetryAfter';
import type { ResponseHead, Attempt, AttemptRequest, AttemptSink } from './types';

/**
 * Maximum wait until the request can be written; a reachable server accepts within milliseconds.
 */
const SEND_TIMEOUT: Milliseconds = 400;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

interface SendOnceOptions {
  readonly dispatcher: Dispatcher;
  readonly request: AttemptRequest;
  readonly sink: AttemptSink;
  readonly clock: Clock;
  /** Returns whether the response that ends now ends because its connection failed. */
  readonly isConnectionFailing: () => boolean;
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

function isDelimitedByClose(status: number, headers: ResponseHead['headers']): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined &&
    !BODILESS_STATUSES.has(status)
  );
}

function hasNotRunMark(head: ResponseHead, request: AttemptRequest): boolean {
  return head.status === HTTP_MISDIRECTED || head.headers[request.notRunHeader] !== undefined;
}

/**
 * Sends a request to one backend server, once. A response that names another request is discarded
 * together with its connection, since further data on it cannot be attributed to any request.
 */
export default function sendOnce(options: SendOnceOptions): Attempt {
  const { dispatcher, request, sink, clock } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: ResponseHead | undefined;
  let isNotRun = false;
  let isEnded = false;

  const sendTimer = clock.after(SEND_TIMEOUT, () => end({ kind: 'notConnected' }));

  function end(outcome: AttemptOutcome): void {
    if (isEnded) {
      return;
    }
    isEnded = true;
    sendTimer.cancel();
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

  dispatcher.dispatch(
    {
      method: request.method,
      path: request.target,
      headers: [...request.headers],
      body: request.body.length === 0 ? null : request.body,
      idempotent: false,
    },
    {
      onRequestStart(started) {
        controller = started;
        sendTimer.cancel();
        if (isEnded) {
          started.abort(new Error('attempt ended before the request was sent'));
        }
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
          controller?.pause();
        }
      },
      onResponseEnd() {
        if (head === undefined) {
          return;
        }
        if (!isNotRun && options.isConnectionFailing()) {
          end({ kind: 'broken', reason: 'reset before the end' });
          return;
        }
        end(isNotRun ? createNotRun(head) : { kind: 'whole', status: head.status });
      },
      onResponseError(_, error) {
        if (controller === undefined) {
          end({ kind: 'notConnected' });
        } else if (isNotRun && head !== undefined) {
          end(createNotRun(head));
        } else {
          end({ kind: 'broken', reason: error.message });
        }
      },
    },
  );

  return {
    abort: (reason: AbortReason) => abortWith({ kind: 'aborted', reason }),
    resume: () => controller?.resume(),
  };
}
