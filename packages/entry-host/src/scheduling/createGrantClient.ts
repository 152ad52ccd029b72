import { Debug } from '@rattanreel/core';
import type { FailureDomainId, PoolId, RequestId } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import createHeldGrants from './createHeldGrants';
import type { FromScheduler } from '../types';
import type { GrantClient, GrantClientOptions, GrantResult, QueuedRequest } from './types';

/**
 * Interval at which the grant of a queued request is requested again, which also renews the stamp
 * that a grant echoes.
 */
const GRANT_REQUEST_INTERVAL_MS = 200;

const REFUSAL_RETRY_AFTER_MS = 1_000;

/**
 * Keeps this host's requests that wait for a grant, and requests their grants until each is
 * granted, refused or withdrawn.
 */
export default function createGrantClient(options: GrantClientOptions): GrantClient {
  const { getSelf, homeDomain, clock, send, admission } = options;
  const queued = new Map<RequestId, QueuedRequest>();
  const heldGrants = createHeldGrants(getSelf, send);

  function sendGrantRequest({ grantRequest, failureDomain }: QueuedRequest): void {
    const now = clock.now();
    send(grantRequest.pool, failureDomain, {
      kind: 'grantRequested',
      request: grantRequest.request,
      from: getSelf(),
      homeDomain,
      tier: grantRequest.tier,
      customer: grantRequest.customer,
      customerWeight: grantRequest.customerWeight,
      route: grantRequest.route,
      promptTokens: grantRequest.promptTokens,
      maximumOutputTokens: grantRequest.maximumOutputTokens,
      prefixHashes: grantRequest.prefixHashes,
      age: now - grantRequest.arrivedAt,
      firstTokenDue: grantRequest.firstTokenDueAt - now,
      due: grantRequest.dueAt - now,
      stamp: now,
    });
  }

  function finish(entry: QueuedRequest, result: GrantResult): void {
    entry.timer?.cancel();
    queued.delete(entry.grantRequest.request);
    entry.resolve(result);
  }

  function withdraw({ grantRequest, failureDomain }: QueuedRequest): void {
    send(grantRequest.pool, failureDomain, {
      kind: 'grantWithdrawn',
      request: grantRequest.request,
      from: getSelf(),
    });
  }

  function resendUntilDue(entry: QueuedRequest): void {
    const now = clock.now();
    if (now >= entry.grantRequest.dueAt) {
      withdraw(entry);
      finish(entry, {
        kind: 'refused',
        reason: 'deadlinePassed',
        retryAfter: REFUSAL_RETRY_AFTER_MS,
      });
      return;
    }
    sendGrantRequest(entry);
    const wait = Math.min(GRANT_REQUEST_INTERVAL_MS, entry.grantRequest.dueAt - now);
    entry.timer = clock.after(wait, () => resendUntilDue(entry));
  }

  /** Refuses a queued request that could be sent only to be cut when this host ends. */
  function refuseIfStopping(entry: QueuedRequest): boolean {
    if (admission.canSend(entry.grantRequest.dueAt)) {
      return false;
    }
    withdraw(entry);
    finish(entry, { kind: 'refused', reason: 'stopping', retryAfter: REFUSAL_RETRY_AFTER_MS });
    return true;
  }

  function tryAccept(entry: QueuedRequest | undefined, grant: Grant): entry is QueuedRequest {
    const isFresh = clock.now() - grant.echo <= grant.lifetime;
    return entry !== undefined && isFresh && entry.grantRequest.lifecycle.tryGrant();
  }

  function receiveGrant(pool: PoolId, failureDomain: FailureDomainId, grant: Grant): void {
    const entry = queued.get(grant.request);
    if (tryAccept(entry, grant)) {
      const heldGrant = heldGrants.hold(entry.grantRequest, failureDomain, grant);
      finish(entry, { kind: 'granted', heldGrant });
    } else if (!heldGrants.isHeld(grant)) {
      heldGrants.releaseUnused(pool, failureDomain, grant);
    }
  }

  function spillOver(entry: QueuedRequest, failureDomain: FailureDomainId): void {
    entry.timer?.cancel();
    entry.failureDomain = failureDomain;
    resendUntilDue(entry);
  }

  function receive(pool: PoolId, failureDomain: FailureDomainId, message: FromScheduler): void {
    if (message.to.incarnation !== getSelf().incarnation) {
      return;
    }
    if (message.kind === 'grant') {
      receiveGrant(pool, failureDomain, message);
      return;
    }
    const entry = queued.get(message.request);
    if (entry?.failureDomain !== failureDomain) {
      return;
    }
    switch (message.kind) {
      case 'refusal':
        finish(entry, {
          kind: 'refused',
          reason: message.reason,
          retryAfter: message.retryAfter,
        });
        break;
      case 'spillOver':
        spillOver(entry, message.failureDomain);
        break;
      default:
        Debug.assertNever(message);
    }
  }

  admission.watchStop(() => [...queued.values()].forEach(refuseIfStopping));

  return {
    obtain: (grantRequest) =>
      new Promise((resolve) => {
        const entry: QueuedRequest = {
          grantRequest,
          failureDomain: homeDomain,
          timer: undefined,
          resolve,
        };
        queued.set(grantRequest.request, entry);
        grantRequest.signal.addEventListener('abort', () => {
          if (queued.get(grantRequest.request) === entry) {
            withdraw(entry);
            finish(entry, { kind: 'callerGone' });
          }
        });
        if (!refuseIfStopping(entry)) {
          resendUntilDue(entry);
        }
      }),
    receive,
    resendQueued(pool, failureDomain) {
      for (const entry of queued.values()) {
        if (entry.grantRequest.pool === pool && entry.failureDomain === failureDomain) {
          sendGrantRequest(entry);
        }
      }
    },
    buildInFlightReport: heldGrants.buildInFlightReport,
    forEachPoolInUse: heldGrants.forEachPoolInUse,
  };
}
