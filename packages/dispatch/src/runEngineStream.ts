import type { Milliseconds, Outcome } from '@rattanreel/core';
import toBackendServerError from './toBackendServerError';
import type {
  BackendServerError,
  EngineStreamOptions,
  StreamBatches,
  StreamEvent,
  StreamResult,
  StreamUsage,
} from './types';

const MAXIMUM_RESUMES = 5;
const RESUME_BACKOFF_MS = 50;

type ReadResult =
  { readonly kind: 'done' } | { readonly kind: 'broken'; error: BackendServerError };

/** Returns whether the engine may still hold the stream after this error. */
function isResumable(error: BackendServerError): boolean {
  return error.kind === 'interrupted' || error.kind === 'silent';
}

/**
 * Dispatches a request to an engine once and forwards its stream. A stream that breaks or times out
 * is resumed at the same engine, after the tokens received so far; the request is never sent again.
 */
export default async function runEngineStream(options: EngineStreamOptions): Promise<StreamResult> {
  const { client, clock, address, request, signal } = options;
  const startedAt = clock.now();
  let tokens = 0;
  let usage: StreamUsage | undefined;
  let firstTokenAfter: Milliseconds | undefined;
  let resumeCount = 0;

  function recordEvent(event: StreamEvent): void {
    if (event.kind === 'tokens') {
      tokens = event.tokens;
      if (firstTokenAfter === undefined) {
        firstTokenAfter = clock.now() - startedAt;
        options.onFirstToken(firstTokenAfter);
      }
    } else if (event.kind === 'usage') {
      usage = event.usage;
    }
  }

  /** Filters out repeated events: a resumed stream may repeat tokens that were received before. */
  function isNewEvent(event: StreamEvent): boolean {
    return event.kind !== 'tokens' || event.tokens > tokens;
  }

  async function readBatches(batches: StreamBatches): Promise<ReadResult> {
    try {
      for await (const batch of batches) {
        const newEvents = batch.filter(isNewEvent);
        newEvents.forEach(recordEvent);
        await options.onEvents(newEvents);
        if (newEvents.some((event) => event.kind === 'done')) {
          return { kind: 'done' };
        }
      }
      return { kind: 'broken', error: { kind: 'interrupted', detail: 'ended early' } };
    } catch (error) {
      return { kind: 'broken', error: toBackendServerError(error) };
    }
  }

  async function readOutcome(
    outcome: Outcome<StreamBatches, BackendServerError>,
  ): Promise<ReadResult> {
    return outcome.kind === 'ok'
      ? readBatches(outcome.value)
      : { kind: 'broken', error: outcome.error };
  }

  function getTimeouts(): { headersTimeout: Milliseconds; idleTimeout: Milliseconds } {
    return {
      headersTimeout: options.firstTokenTimeout,
      idleTimeout: firstTokenAfter === undefined ? options.firstTokenTimeout : options.idleTimeout,
    };
  }

  async function resume(): Promise<ReadResult> {
    resumeCount += 1;
    await new Promise<void>((resolve) => {
      clock.after(RESUME_BACKOFF_MS * resumeCount, resolve);
    });
    return readOutcome(
      await client.resumeStream({
        address,
        request,
        afterTokens: tokens,
        signal,
        ...getTimeouts(),
      }),
    );
  }

  let result = await readOutcome(
    await client.openStream({ address, request, body: options.body, signal, ...getTimeouts() }),
  );
  while (result.kind === 'broken' && isResumable(result.error) && resumeCount < MAXIMUM_RESUMES) {
    if (signal.aborted) {
      break;
    }
    result = await resume();
  }
  return {
    kind: result.kind === 'done' ? 'completed' : 'failed',
    error: result.kind === 'done' ? undefined : result.error,
    tokens,
    usage,
    firstTokenAfter,
    duration: clock.now() - startedAt,
    resumeCount,
  };
}
