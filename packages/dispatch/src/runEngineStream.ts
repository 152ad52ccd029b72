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
const RESUME_PAUSE_MS = 50;

type ReadEnd = { readonly kind: 'done' } | { readonly kind: 'broken'; error: BackendServerError };

/** Errors after which the engine may still hold the stream. */
function isResumable(error: BackendServerError): boolean {
  return error.kind === 'interrupted' || error.kind === 'silent';
}

/**
 * Dispatches a request to an engine once and relays its stream. A stream that breaks or falls silent
 * is resumed at the same engine, after the tokens that have arrived; the request is never sent again.
 */
export default async function runEngineStream(options: EngineStreamOptions): Promise<StreamResult> {
  const { client, clock, address, request, signal } = options;
  const startedAt = clock.now();
  let tokens = 0;
  let usage: StreamUsage | undefined;
  let firstTokenAfter: Milliseconds | undefined;
  let resumes = 0;

  function note(event: StreamEvent): void {
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

  /** A resumed stream may repeat tokens that have arrived already. */
  function isFresh(event: StreamEvent): boolean {
    return event.kind !== 'tokens' || event.tokens > tokens;
  }

  async function readAll(batches: StreamBatches): Promise<ReadEnd> {
    try {
      for await (const batch of batches) {
        const fresh = batch.filter(isFresh);
        fresh.forEach(note);
        await options.onEvents(fresh);
        if (fresh.some((event) => event.kind === 'done')) {
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
  ): Promise<ReadEnd> {
    return outcome.kind === 'ok'
      ? readAll(outcome.value)
      : { kind: 'broken', error: outcome.error };
  }

  function timeouts(): { headTimeout: Milliseconds; silenceTimeout: Milliseconds } {
    return {
      headTimeout: options.firstTokenTimeout,
      silenceTimeout:
        firstTokenAfter === undefined ? options.firstTokenTimeout : options.silenceTimeout,
    };
  }

  async function resume(): Promise<ReadEnd> {
    resumes += 1;
    await new Promise<void>((resolve) => {
      clock.after(RESUME_PAUSE_MS * resumes, resolve);
    });
    return readOutcome(
      await client.resumeStream({ address, request, afterTokens: tokens, signal, ...timeouts() }),
    );
  }

  let end = await readOutcome(
    await client.openStream({ address, request, body: options.body, signal, ...timeouts() }),
  );
  while (end.kind === 'broken' && isResumable(end.error) && resumes < MAXIMUM_RESUMES) {
    if (signal.aborted) {
      break;
    }
    end = await resume();
  }
  return {
    kind: end.kind === 'done' ? 'completed' : 'failed',
    error: end.kind === 'done' ? undefined : end.error,
    tokens,
    usage,
    firstTokenAfter,
    duration: clock.now() - startedAt,
    resumes,
  };
}
