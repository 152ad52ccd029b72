import { Debug } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { BackendServerError, ServiceResponse } from '@rattanreel/dispatch';
import type { ReleaseOutcome } from '@rattanreel/scheduling';
import type { CallerServices, ServiceJob, ServiceOutcome } from './types';
import type { HeldGrant } from '../scheduling/types';
import createServiceGrantRequest from './createServiceGrantRequest';

/**
 * Maximum number of grants for one call. A call is granted again only when no connection to the
 * backend server was established, so that the backend server has not received it.
 */
const MAXIMUM_ATTEMPTS = 3;

const FIRST_SERVER_ERROR_STATUS = 500;

function toReleaseOutcome(result: Outcome<ServiceResponse, BackendServerError>): ReleaseOutcome {
  if (result.kind === 'ok') {
    return result.value.status >= FIRST_SERVER_ERROR_STATUS ? 'backendServerFailed' : 'completed';
  }
  switch (result.error.kind) {
    case 'notConnected':
      return 'notConnected';
    case 'silent':
      return 'silent';
    case 'aborted':
      return 'callerGone';
    case 'rejected':
    case 'interrupted':
    case 'streamUnknown':
    case 'invalidAnswer':
      return 'backendServerFailed';
    default:
      return Debug.assertNever(result.error);
  }
}

async function dispatch(
  services: CallerServices,
  job: ServiceJob,
  heldGrant: HeldGrant,
): Promise<Outcome<ServiceResponse, BackendServerError>> {
  const { clock } = services;
  const startedAt = clock.now();
  const result = await services.serviceClient.call({
    address: job.getAddress(heldGrant.grant.backendServer),
    method: job.method,
    path: job.path,
    headers: job.headers,
    body: job.body,
    timeout: Math.max(1, job.dueAt - startedAt),
    dedicatedConnection: !job.route.repeatable,
    signal: job.signal,
  });
  const duration = clock.now() - startedAt;
  const answered = result.kind === 'ok';
  heldGrant.release({
    outcome: toReleaseOutcome(result),
    cachedTokens: 0,
    outputTokens: answered ? 1 : 0,
    firstTokenAfter: answered ? duration : undefined,
    duration,
  });
  return result;
}

/**
 * Runs one call of a plain service from the queue to its response. The call is written to one
 * connection at most.
 */
export default async function runServiceCall(
  services: CallerServices,
  job: ServiceJob,
): Promise<ServiceOutcome> {
  const grantRequest = createServiceGrantRequest(services, job);
  for (let attempt = 1; ; attempt += 1) {
    const grantResult = await services.grants.obtain(grantRequest);
    if (grantResult.kind !== 'granted') {
      return grantResult;
    }
    const dispatched = grantRequest.lifecycle.tryDispatch();
    Debug.invariant(dispatched, 'request-dispatched-twice', () => grantRequest.request);
    const result = await dispatch(services, job, grantResult.heldGrant);
    if (result.kind === 'ok') {
      grantRequest.lifecycle.tryEnd();
      return { kind: 'answered', answer: result.value };
    }
    const unsent =
      result.error.kind === 'notConnected' && grantRequest.lifecycle.tryRequeueUnsent();
    if (!unsent || attempt >= MAXIMUM_ATTEMPTS) {
      grantRequest.lifecycle.tryEnd();
      return { kind: 'failed', error: result.error, notRun: grantRequest.lifecycle.isNotRun() };
    }
  }
}
