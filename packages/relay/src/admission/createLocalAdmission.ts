import type { Clock, PoolId, Random } from '@rattanreel/core';
import getRetryDelay from '../decisions/getRetryDelay';
import type { SharedQuota } from '../decisions/types';
import type { PoolQueue, Pools } from '../pools/types';
import type { QueuedRequest, RefusalReason, ServerState } from '../types';
import type { LocalAdmission, ServerView, SlotGrant, SlotRequest } from './types';

interface LocalAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly pools: Pools;
  readonly quota: SharedQuota;
}

function createServerView(server: ServerState): ServerView {
  return {
    own: server.ownInFlight,
    others: server.peerInFlight,
    slowness: Number(server.slowness.toFixed(2)),
    failures: server.consecutiveFailures,
    limit: server.pacing?.rate,
  };
}

function createGrant(
  queue: PoolQueue,
  server: ServerState,
  tier: number,
  customer: string | undefined,
): SlotGrant {
  return {
    server: server.listed,
    view: createServerView(server),
    release: () => queue.releaseUnusedSlot(server, tier, customer),
    complete: (figures) => queue.completeAttempt(server, tier, figures, customer),
    recordLoad: (running, waiting) => queue.recordLoadReport(server, running, waiting),
    recordLeaving: () => queue.recordLeaving(server),
  };
}

/** Creates the admission to this host's own pools, within the customers' quotas. */
export default function createLocalAdmission(options: LocalAdmissionOptions): LocalAdmission {
  const { clock, random, pools, quota } = options;

  function refund(customer: string | undefined, cost: number): void {
    if (customer !== undefined && cost > 0) {
      quota.refund(customer, cost);
    }
  }

  /** Charges the customer; returns false after refusing the request. */
  function tryCharge({ customer, cost, onRefused }: SlotRequest): boolean {
    if (customer === undefined || cost === 0) {
      return true;
    }
    const decision = quota.trySpend(customer, cost, clock.now());
    if (decision.kind === 'over') {
      onRefused({ reason: 'overQuota', retryAfter: decision.retryAfter });
    }
    return decision.kind === 'within';
  }

  return {
    requestSlot(request) {
      if (!tryCharge(request)) {
        return () => undefined;
      }
      const { priority, customer, cost } = request;
      const queue = pools.getQueue(request.pool);
      let isOpen = true;

      function refuse(reason: RefusalReason): void {
        isOpen = false;
        refund(customer, cost);
        request.onRefused({
          reason,
          retryAfter:
            queue.sharing.tryGetRetryDelay(request) ??
            getRetryDelay(priority.deadlineAt - clock.now(), random),
          pool: queue.getState(request),
        });
      }

      const queued: QueuedRequest = {
        id: request.requestId,
        customer,
        priority,
        outputTokens: request.outputTokens,
        excludedServers: request.excludedServers,
        onGranted(server) {
          isOpen = false;
          request.onGranted(createGrant(queue, server, priority.tier, customer));
        },
        onRefused: refuse,
      };
      const decision = queue.enqueue(queued);
      if (decision.kind === 'refused') {
        refuse(decision.reason);
      }
      return () => {
        if (isOpen) {
          isOpen = false;
          queue.cancel(queued);
          refund(customer, cost);
        }
      };
    },
    refund,
    trySpendRetry: (pool: PoolId) => pools.getQueue(pool).trySpendRetry(),
    recordRequest: (pool: PoolId) => pools.getQueue(pool).recordRequest(),
    tryAdoptSlot({ pool, server, tier, customer }) {
      const queue = pools.getQueue(pool);
      const state = queue.tryAdoptSlot(server, tier, customer);
      return state === undefined ? undefined : createGrant(queue, state, tier, customer);
    },
  };
}
