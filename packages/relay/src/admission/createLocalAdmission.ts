import type { Clock, Milliseconds, PoolId, Random } from '@rattanreel/core';
import getRetryDelay from '../decisions/getRetryDelay';
import tryGetLatePriority from '../decisions/tryGetLatePriority';
import type { EstimateOverride, SharedQuota } from '../decisions/types';
import hasSpareCapacity from '../hedging/hasSpareCapacity';
import type { PoolQueue, Pools } from '../pools/types';
import type { Priority, QueuedRequest, RefusalReason, ServerState } from '../types';
import markOverride from './markOverride';
import type { SpeedObservation } from '../speed/types';
import type { LocalAdmission, ServerView, SlotGrant, SlotRequest } from './types';

interface LocalAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly pools: Pools;
  readonly quota: SharedQuota;
}

/** Whose request uses a slot. */
interface SlotUser {
  readonly tier: number;
  readonly customer: string | undefined;
}

function createServerView(
  server: ServerState,
  speed: SpeedObservation | undefined,
  now: Milliseconds,
): ServerView {
  return {
    own: server.ownInFlight,
    others: server.peerInFlight,
    slowness: Number(server.slowness.toFixed(2)),
    failures: server.consecutiveFailures,
    limit: server.pacing?.rate,
    ...(speed !== undefined && {
      slowdown: speed.slowdown,
      slowdownAge: Math.round(now - speed.observedAt),
    }),
  };
}

function createGrant(
  { pools, clock }: Pick<LocalAdmissionOptions, 'pools' | 'clock'>,
  queue: PoolQueue,
  server: ServerState,
  { tier, customer }: SlotUser,
): SlotGrant {
  const speed = pools.speeds.tryGetLatest(server.listed.id);
  return {
    server: server.listed,
    view: createServerView(server, speed, clock.now()),
    release: () => queue.releaseUnusedSlot(server, tier, customer),
    complete: (figures) => queue.completeAttempt(server, tier, figures, customer),
    recordLoad: (load) => queue.recordLoadReport(server, load),
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
      const { retryAfter, figures } = decision;
      onRefused({ reason: 'overQuota', retryAfter, quota: figures });
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
      const isSpeculative = request.isSpeculative === true;
      let isOpen = true;
      let isGranted = false;
      let queued: QueuedRequest | undefined;
      let override: EstimateOverride = 'refuse';

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

      /** Refuses a request, unless its caller waits for a late response. */
      function refuseOrWait(reason: RefusalReason, current: Priority): void {
        const late =
          reason === 'expectedLate' && !isSpeculative
            ? tryGetLatePriority(current, clock.now())
            : undefined;
        if (late === undefined) {
          refuseOrOverride(reason, current);
        } else {
          enqueue(late);
        }
      }

      /** Refuses a request, unless its pool is idle or what was learnt of it is in doubt. */
      function refuseOrOverride(reason: RefusalReason, current: Priority): void {
        if (reason !== 'expectedLate' || isSpeculative || override !== 'refuse') {
          refuse(reason);
          return;
        }
        override = queue.decideOnLate({ ...request, priority: current });
        switch (override) {
          case 'refuse':
            refuse(reason);
            return;
          case 'serveLate':
            enqueue({ ...current, serveBy: current.deadlineAt });
            return;
          case 'tryOut':
            enqueue({ ...current, serveBy: Infinity });
            endTrialUnlessGranted(reason);
            return;
          default:
            override satisfies never;
        }
      }

      function endTrialUnlessGranted(reason: RefusalReason): void {
        if (!isGranted) {
          queue.endTrial('unused');
        }
        if (isOpen && queued !== undefined) {
          queue.cancel(queued);
          refuse(reason);
        }
      }

      function enqueue(current: Priority): void {
        queued = {
          id: request.requestId,
          customer,
          priority: current,
          outputTokens: request.outputTokens,
          excludedServers: request.excludedServers,
          onGranted(server) {
            isOpen = false;
            isGranted = true;
            const grant = createGrant(options, queue, server, { tier: priority.tier, customer });
            request.onGranted(markOverride(grant, queue, override));
          },
          onRefused: (reason) => refuseOrWait(reason, current),
        };
        const decision = queue.enqueue(queued);
        if (decision.kind === 'refused') {
          refuseOrWait(decision.reason, current);
        }
      }

      if (isSpeculative && !hasSpareCapacity(queue.getState(request))) {
        refuse('noSpareCapacity');
        return () => undefined;
      }
      enqueue(priority);
      const cancel = (): void => {
        if (isOpen && queued !== undefined) {
          isOpen = false;
          queue.cancel(queued);
          refund(customer, cost);
        }
      };
      if (isSpeculative && isOpen) {
        cancel();
        request.onRefused({ reason: 'noSpareCapacity', retryAfter: 0 });
      }
      return cancel;
    },
    refund,
    trySpendRetry: (pool: PoolId) => pools.getQueue(pool).trySpendRetry(),
    recordRequest: (pool: PoolId) => pools.getQueue(pool).recordRequest(),
    tryAdoptSlot({ pool, server, tier, customer }) {
      const queue = pools.getQueue(pool);
      const state = queue.tryAdoptSlot(server, tier, customer);
      return state === undefined
        ? undefined
        : createGrant(options, queue, state, { tier, customer });
    },
  };
}
