import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import estimateWait from './estimateWait';
import type { SchedulerState } from './types';

/** Estimates how long a queued request waits behind the others; its own cost does not count. */
export default function estimateQueuedWait(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): Milliseconds {
  const { band, grantRequest, cost } = request;
  return estimateWait(state, { band, tier: grantRequest.tier, cost: -cost }, now);
}
