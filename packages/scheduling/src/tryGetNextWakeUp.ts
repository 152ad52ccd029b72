import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from './decisions/types';

const AFTER_EXPIRY_MILLISECONDS = 1;

/**
 * Returns the next time at which a decision changes without a message; undefined when there is
 * none.
 */
export default function tryGetNextWakeUp(
  state: SchedulerState,
  now: Milliseconds,
): Milliseconds | undefined {
  let next = Number.POSITIVE_INFINITY;

  function consider(instant: Milliseconds | undefined): void {
    if (instant !== undefined && instant < next) {
      next = instant;
    }
  }

  const expiring = state.queue.tryGetNextExpiring();
  consider(expiring && expiring.latestStart + AFTER_EXPIRY_MILLISECONDS);
  const due = state.deferredRefusals.tryGetNextDue();
  consider(due && Math.min(due.firstTokenDueAt, due.dueAt) + AFTER_EXPIRY_MILLISECONDS);
  consider(state.handover.tryGetEnd(now));
  state.orphanedSlots.forEach(consider);
  state.servers.forEach((server) => consider(server.probeAt));
  const head = state.queue.peek();
  if (head !== undefined) {
    const blockedUntil = state.refusalBarrier.getBlockedUntil(head.grantRequest.tier);
    consider(blockedUntil > now ? blockedUntil : undefined);
  }
  return Number.isFinite(next) ? Math.max(now, next) : undefined;
}
