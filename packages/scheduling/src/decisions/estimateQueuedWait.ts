import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import estimateWait from './estimateWait';
import type { SchedulerState } from './types';

/** Expected wait of a queued request behind the others; its own length does not count. */
export default function estimateQueuedWait(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): Milliseconds {
  const { band, grantRequest, cost } = request;
  return estimateWait(state, { band, tier: grantRequest.tier, cost: -cost }, now);
}
