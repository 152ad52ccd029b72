import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { RefusalReason } from '../types';
import refuse from './refuse';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/** Spills a request that is no longer queued over to another failure domain, or refuses it. */
export default function spillOrRefuse(
  state: SchedulerState,
  request: QueuedRequest,
  reason: RefusalReason,
  now: Milliseconds,
): void {
  if (!trySpill(state, request, now)) {
    refuse(state, request, reason, now);
  }
}
