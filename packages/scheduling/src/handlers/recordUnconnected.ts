import type { RequestId } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import type { BackendServer } from '../servers/types';

const MAXIMUM_REQUESTS = 5_000;

/** Records a server to which a request could not be connected, so that others are preferred for it. */
export default function recordUnconnected(
  { unconnected }: SchedulerState,
  request: RequestId,
  server: BackendServer,
): void {
  unconnected.set(request, new Set([...(unconnected.get(request) ?? []), server]));
  if (unconnected.size > MAXIMUM_REQUESTS) {
    unconnected.delete(unconnected.keys().next().value!);
  }
}
