import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import estimateWait from './estimateWait';
import type { SchedulerState } from './types';

/** Expected wait of a request that is queued. */
export default function expectedWait(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): Milliseconds {
  return estimateWait(state, { band: request.band, tier: request.asked.tier, cost: 0 }, now);
}
