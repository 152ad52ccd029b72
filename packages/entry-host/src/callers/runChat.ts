import { runEngineStream } from '@rattanreel/dispatch';
import type { StreamEvent, StreamResult } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';
import type { ReleaseOutcome } from '@rattanreel/scheduling';
import type { CallerServices, ChatJob, ChatOutcome } from './types';
import type { HeldGrant } from '../scheduling/types';

/**
 * Maximum number of grants for one request. A request is granted again only when no connection to
 * the engine was established, so that the engine has not received it.
 */
const MAXIMUM_ATTEMPTS = 3;

const IDLE_TIMEOUT_TOKEN_INTERVALS = 20;
const MINIMUM_IDLE_TIMEOUT_MS = 2_000;

function toReleaseOutcome(result: StreamResult, callerDisconnected: boolean): ReleaseOutcome {
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
      return callerDisconnected ? 'callerGone' : 'silent';
    case 'interrupted':
    case 'streamUnknown':
    case 'invalidAnswer':
      return callerDisconnected ? 'callerGone' : 'backendServerFailed';
    default:
      return Debug.assertNever(result.error);
  }
}

function releaseGrant(
  heldGrant: HeldGrant,
  result: StreamResult,
  callerDisconnected: boolean,
): void {
  heldGrant.release({
    outcome: toReleaseOutcome(result, callerDisconnected),
    cachedTokens: result.usage?.cachedTokens ?? 0,
    outputTokens: result.tokens,
    firstTokenAfter: result.firstTokenAfter,
    duration: result.duration,
  });
}

async function dispatch(
  services: CallerServices,
  job: ChatJob,
  heldGrant: HeldGrant,
  onEvents: (events: readonly StreamEvent[]) => Promise<void>,
): Promise<StreamResult> {
  const { clock, engineClient } = services;
  const { grantRequest } = job;
  const address = job.getAddress(heldGrant.grant.backendServer);
  const timer = clock.after(grantRequest.dueAt - clock.now(), job.callerConnection.abort);
  const dispatched = grantRequest.lifecycle.tryDispatch();
  Debug.invariant(dispatched, 'request-dispatched-twice', () => grantRequest.request);
  const result = await runEngineStream({
    client: engineClient,
    clock,
    address,
    request: grantRequest.request,
    body: job.engineBody,
    firstTokenTimeout: Math.max(1, grantRequest.dueAt - clock.now()),
    idleTimeout: Math.max(
      MINIMUM_IDLE_TIMEOUT_MS,
      job.betweenTokens * IDLE_TIMEOUT_TOKEN_INTERVALS,
    ),
    signal: grantRequest.signal,
    onEvents,
    onFirstToken: (after) => heldGrant.reportFirstToken(after, 0),
  });
  timer.cancel();
  if (result.kind === 'failed' && result.error?.kind !== 'notConnected') {
    // Nothing reads the rest of the stream, so the engine need not produce it.
    await engineClient.cancelStream(address, grantRequest.request);
  }
  return result;
}

/** Runs a chat request from the queue to the end of its stream. */
export default async function runChat(
  services: CallerServices,
  job: ChatJob,
  onEvents: (events: readonly StreamEvent[]) => Promise<void>,
): Promise<ChatOutcome> {
  const { grantRequest } = job;
  let attempts = 0;
  for (;;) {
    attempts += 1;
    const grantResult = await services.grants.obtain(grantRequest);
    if (grantResult.kind !== 'granted') {
      grantRequest.lifecycle.tryEnd();
      return grantResult;
    }
    const { heldGrant } = grantResult;
    const stream = await dispatch(services, job, heldGrant, onEvents);
    releaseGrant(heldGrant, stream, job.callerConnection.isDisconnected());
    const unsent =
      stream.error?.kind === 'notConnected' && grantRequest.lifecycle.tryRequeueUnsent();
    if (!unsent || attempts >= MAXIMUM_ATTEMPTS || grantRequest.signal.aborted) {
      grantRequest.lifecycle.tryEnd();
      return { kind: 'ended', heldGrant, stream };
    }
  }
}
