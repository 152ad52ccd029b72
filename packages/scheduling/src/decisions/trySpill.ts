import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { SchedulerState } from './types';

/** Passes a request on to a neighbour with room; a request that was passed on before stays. */
export default function trySpill(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): boolean {
  if (request.asked.homeDomain !== state.options.failureDomain) {
    return false;
  }
  const failureDomain = state.spill.tryTake(request.asked.tier, request.cost, now);
  if (failureDomain === undefined) {
    return false;
  }
  state.effects.push({
    kind: 'spillOver',
    request: request.id,
    to: request.asked.from,
    failureDomain,
    queuedFor: now - request.enqueuedAt,
  });
  return true;
}
