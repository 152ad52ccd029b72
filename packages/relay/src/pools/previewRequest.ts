import type { Milliseconds } from '@rattanreel/core';
import type { SlotEligibility } from '../decisions/types';
import type { QueuedRequest, RefusalReason } from '../types';
import tryFindGrant from './tryFindGrant';
import type { PoolPreview, PoolState, WaitingCause } from './types';

type FindGrantOptions = Parameters<typeof tryFindGrant>[0];

interface PreviewOptions extends FindGrantOptions {
  readonly request: QueuedRequest;
  /** Why the request is refused at once; undefined if it is queued. */
  readonly refusal: RefusalReason | undefined;
  readonly state: PoolState;
  readonly now: Milliseconds;
}

function getWaitingCause(eligibility: SlotEligibility, hasServer: boolean): WaitingCause {
  if (!hasServer) {
    return 'noFreeServer';
  }
  return eligibility === 'kept' ? 'keptForOtherTiers' : 'othersFirst';
}

/**
 * Grants slots on copies of a pool's queue and servers until a request has its slot or no slot is
 * granted any more. The shares of tiers and customers stay as they are at the start: grants to
 * requests that are queued before this one are rare, since free slots are granted at once.
 */
export default function previewRequest(options: PreviewOptions): PoolPreview {
  const { queue, tracker, policy, request, refusal, state, now } = options;
  const preview = {
    state,
    eligibility: policy.evaluate(request.priority, tracker.countSlots()),
    servers: tracker.assessServers(request),
  };
  if (refusal !== undefined) {
    return { ...preview, outcome: { kind: 'refused', reason: refusal } };
  }
  queue.add(request);
  if (queue.removeExpired(now).includes(request)) {
    return { ...preview, outcome: { kind: 'refused', reason: 'expectedLate' } };
  }
  for (let grant = tryFindGrant(options); grant !== undefined; grant = tryFindGrant(options)) {
    const { request: granted, server } = grant;
    if (granted === request) {
      return { ...preview, outcome: { kind: 'granted', server: server.listed.id } };
    }
    queue.remove(granted);
    tracker.acquireSlot(server, granted.priority.tier);
    preview.servers = tracker.assessServers(request);
  }
  const hasServer = preview.servers.some(({ passedOver }) => passedOver === undefined);
  const cause = getWaitingCause(preview.eligibility, hasServer);
  return { ...preview, outcome: { kind: 'waiting', cause } };
}
