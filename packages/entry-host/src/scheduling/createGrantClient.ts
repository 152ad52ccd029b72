import { Debug } from '@rattanreel/core';
import type { FailureDomainId, PoolId, RequestId } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import createHeldGrants from './createHeldGrants';
import type { FromScheduler } from '../types';
import type { GrantClient, GrantClientOptions, GrantResult, QueuedRequest } from './types';

/** A queued request is asked for again this often, which also renews the stamp that a grant echoes. */
const ASK_INTERVAL_MS = 200;

const REFUSAL_RETRY_AFTER_MS = 1_000;

/** Keeps the requests of this host that wait for a grant, and asks for them until they are settled. */
export default function createGrantClient(options: GrantClientOptions): GrantClient {
  const { getSelf, homeDomain, clock, send } = options;
  const queued = new Map<RequestId, QueuedRequest>();
  const heldGrants = createHeldGrants(getSelf, send);

  function sendAsk({ ask, failureDomain }: QueuedRequest): void {
    const now = clock.now();
    send(ask.pool, failureDomain, {
      kind: 'grantRequested',
      request: ask.request,
      from: getSelf(),
      homeDomain,
      tier: ask.tier,
      customer: ask.customer,
      customerWeight: ask.customerWeight,
      route: ask.route,
      promptTokens: ask.promptTokens,
      maximumOutputTokens: ask.maximumOutputTokens,
      prefixHashes: ask.prefixHashes,
      age: now - ask.arrivedAt,
      firstTokenDue: ask.firstTokenDueAt - now,
      due: ask.dueAt - now,
      stamp: now,
    });
  }

  function finish(entry: QueuedRequest, result: GrantResult): void {
    entry.timer?.cancel();
    queued.delete(entry.ask.request);
    entry.settle(result);
  }

  function withdraw({ ask, failureDomain }: QueuedRequest): void {
    send(ask.pool, failureDomain, {
      kind: 'grantWithdrawn',
      request: ask.request,
      from: getSelf(),
    });
  }

  function keepAsking(entry: QueuedRequest): void {
    const now = clock.now();
    if (now >= entry.ask.dueAt) {
      withdraw(entry);
      finish(entry, {
        kind: 'refused',
        reason: 'deadlinePassed',
        retryAfter: REFUSAL_RETRY_AFTER_MS,
      });
      return;
    }
    sendAsk(entry);
    const wait = Math.min(ASK_INTERVAL_MS, entry.ask.dueAt - now);
    entry.timer = clock.after(wait, () => keepAsking(entry));
  }

  function isUsable(entry: QueuedRequest | undefined, grant: Grant): entry is QueuedRequest {
    const fresh = clock.now() - grant.echo <= grant.lifetime;
    return entry !== undefined && fresh && entry.ask.lifecycle.tryGrant();
  }

  function takeGrant(pool: PoolId, failureDomain: FailureDomainId, grant: Grant): void {
    const entry = queued.get(grant.request);
    if (isUsable(entry, grant)) {
      const held = heldGrants.hold(entry.ask, failureDomain, grant);
      finish(entry, { kind: 'granted', held });
    } else if (!heldGrants.isHeld(grant)) {
      heldGrants.sendBackUnused(pool, failureDomain, grant);
    }
  }

  function spillOver(entry: QueuedRequest, failureDomain: FailureDomainId): void {
    entry.timer?.cancel();
    entry.failureDomain = failureDomain;
    keepAsking(entry);
  }

  function receive(pool: PoolId, failureDomain: FailureDomainId, message: FromScheduler): void {
    if (message.to.incarnation !== getSelf().incarnation) {
      return;
    }
    if (message.kind === 'grant') {
      takeGrant(pool, failureDomain, message);
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

  return {
    obtain: (ask) =>
      new Promise((resolve) => {
        const entry: QueuedRequest = {
          ask,
          failureDomain: homeDomain,
          timer: undefined,
          settle: resolve,
        };
        queued.set(ask.request, entry);
        ask.signal.addEventListener('abort', () => {
          if (queued.get(ask.request) === entry) {
            withdraw(entry);
            finish(entry, { kind: 'callerGone' });
          }
        });
        keepAsking(entry);
      }),
    receive,
    askAgain(pool, failureDomain) {
      for (const entry of queued.values()) {
        if (entry.ask.pool === pool && entry.failureDomain === failureDomain) {
          sendAsk(entry);
        }
      }
    },
    report: heldGrants.report,
    forEachPlace: heldGrants.forEachPlace,
  };
}
