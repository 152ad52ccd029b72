import { runEngineStream } from '@rattanreel/dispatch';
import type { StreamEvent, StreamResult } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { ReleaseOutcome } from '@rattanreel/scheduling';
import type { CallerServices, ChatJob, ChatOutcome } from './types';
import type { HeldGrant } from '../scheduling/types';

/** Grants used for one request at most: an engine that refuses the connection has not seen the request. */
const MAXIMUM_ATTEMPTS = 3;

const SILENCE_FACTOR = 20;
const SHORTEST_SILENCE_MS = 2_000;

function toReleaseOutcome(result: StreamResult, callerGone: boolean): ReleaseOutcome {
  if (result.error === undefined) {
    return 'completed';
  }
  switch (result.error.kind) {
    case 'notConnected':
      return 'notConnected';
    case 'rejected':
      return 'backendServerRefused';
    case 'silent':
      return 'silent';
    case 'aborted':
      return callerGone ? 'callerGone' : 'silent';
    case 'interrupted':
    case 'streamUnknown':
    case 'invalidAnswer':
      return callerGone ? 'callerGone' : 'backendServerFailed';
    default:
      return Debug.assertNever(result.error);
  }
}

function releaseGrant(held: HeldGrant, result: StreamResult, callerGone: boolean): void {
  held.release({
    outcome: toReleaseOutcome(result, callerGone),
    cachedTokens: result.usage?.cachedTokens ?? 0,
    outputTokens: result.tokens,
    firstTokenAfter: result.firstTokenAfter,
    duration: result.duration,
  });
}

async function dispatch(
  services: CallerServices,
  job: ChatJob,
  held: HeldGrant,
  onEvents: (events: readonly StreamEvent[]) => Promise<void>,
): Promise<StreamResult> {
  const { clock, engines } = services;
  const { ask } = job;
  const address = job.addressOf(held.grant.backendServer);
  const timer = clock.after(ask.dueAt - clock.now(), job.caller.abort);
  const dispatched = ask.lifecycle.tryDispatch();
  Debug.invariant(dispatched, 'request-dispatched-twice', () => ask.request);
  const result = await runEngineStream({
    client: engines,
    clock,
    address,
    request: ask.request,
    body: job.engineBody,
    firstTokenTimeout: Math.max(1, ask.dueAt - clock.now()),
    idleTimeout: Math.max(SHORTEST_SILENCE_MS, job.betweenTokens * SILENCE_FACTOR),
    signal: ask.signal,
    onEvents,
    onFirstToken: (after) => held.firstToken(after, 0),
  });
  timer.cancel();
  if (result.kind === 'failed' && result.error?.kind !== 'notConnected') {
    // Whatever is left of the stream at the engine is of no use to anyone.
    await engines.cancelStream(address, ask.request);
  }
  return result;
}

/** Takes a chat request from the queue to the end of its stream. */
export default async function runChat(
  services: CallerServices,
  job: ChatJob,
  onEvents: (events: readonly StreamEvent[]) => Promise<void>,
): Promise<ChatOutcome> {
  const { ask } = job;
  let attempts = 0;
  for (;;) {
    attempts += 1;
    const result = await services.grants.obtain(ask);
    if (result.kind !== 'granted') {
      ask.lifecycle.tryEnd();
      return result;
    }
    const { held } = result;
    const stream = await dispatch(services, job, held, onEvents);
    releaseGrant(held, stream, job.caller.isGone());
    const unsent = stream.error?.kind === 'notConnected' && ask.lifecycle.tryRequeueUnsent();
    if (!unsent || attempts >= MAXIMUM_ATTEMPTS || ask.signal.aborted) {
      ask.lifecycle.tryEnd();
      return { kind: 'ended', held, stream };
    }
  }
}
