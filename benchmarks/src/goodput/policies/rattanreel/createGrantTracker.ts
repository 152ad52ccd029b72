import type { FailureDomainId, RequestId } from '@rattanreel/core';
import type { EntryHostIncarnation, Grant, ReleaseOutcome } from '@rattanreel/scheduling';
import type { PoolName, SimulatedHost, World } from '../../types';
import type { GrantedRequest, QueuedRequest, SendToScheduler } from './types';

const GRANT_REQUEST_INTERVAL_MILLISECONDS = 500;

interface GrantTrackerOptions {
  readonly world: World;
  readonly host: SimulatedHost;
  readonly send: SendToScheduler;
}

/** Tracks the queued and granted requests of one entry host and reports them to schedulers. */
interface GrantTracker {
  readonly from: EntryHostIncarnation;
  readonly queued: ReadonlyMap<RequestId, QueuedRequest>;
  readonly granted: Map<RequestId, GrantedRequest>;
  requestGrant(entry: QueuedRequest): void;
  /** Requests a grant now and at intervals; each request renews the stamp that a grant echoes. */
  requestGrantRepeatedly(entry: QueuedRequest): void;
  enqueue(entry: QueuedRequest): void;
  dequeue(entry: QueuedRequest): void;
  release(entry: GrantedRequest, outcome: ReleaseOutcome, outputTokens: number): void;
  /** Returns a grant that arrived too late or whose request is no longer queued. */
  returnUnusedGrant(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void;
}

/** Creates a tracker without requests. */
export default function createGrantTracker({
  world,
  host,
  send,
}: GrantTrackerOptions): GrantTracker {
  const { clock } = world;
  const home = host.failureDomain;
  const from = { entryHost: host.id, incarnation: host.incarnation };
  const queued = new Map<RequestId, QueuedRequest>();
  const granted = new Map<RequestId, GrantedRequest>();

  function requestGrant({ task, failureDomain }: QueuedRequest): void {
    const { arrival } = task;
    const now = clock.now();
    const age = now - arrival.at;
    send(home, arrival.pool, failureDomain, {
      kind: 'grantRequested',
      request: arrival.request,
      from,
      homeDomain: home,
      tier: arrival.tier,
      customer: arrival.customer,
      customerWeight: arrival.customerWeight,
      route: arrival.pool,
      promptTokens: arrival.promptTokens,
      maximumOutputTokens: arrival.maximumOutputTokens,
      prefixHashes: arrival.prefixHashes,
      age,
      firstTokenDue: arrival.firstTokenDue - age,
      due: arrival.due - age,
      stamp: now,
    });
  }

  function requestGrantRepeatedly(entry: QueuedRequest): void {
    entry.timer?.cancel();
    requestGrant(entry);
    entry.timer = clock.after(GRANT_REQUEST_INTERVAL_MILLISECONDS, () =>
      requestGrantRepeatedly(entry),
    );
  }

  function enqueue(entry: QueuedRequest): void {
    queued.set(entry.task.arrival.request, entry);
    requestGrantRepeatedly(entry);
  }

  function dequeue(entry: QueuedRequest): void {
    entry.timer?.cancel();
    queued.delete(entry.task.arrival.request);
  }

  function release(entry: GrantedRequest, outcome: ReleaseOutcome, outputTokens: number): void {
    const { arrival } = entry.queued.task;
    granted.delete(arrival.request);
    send(home, arrival.pool, entry.failureDomain, {
      kind: 'grantReleased',
      request: arrival.request,
      from,
      backendServer: entry.grant.backendServer,
      outcome,
      cachedTokens: entry.cachedTokens,
      outputTokens,
      firstTokenAfter: entry.firstTokenAfter,
      duration: clock.now() - entry.dispatchedAt,
    });
  }

  function returnUnusedGrant(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void {
    send(home, pool, failureDomain, {
      kind: 'grantReleased',
      request: grant.request,
      from,
      backendServer: grant.backendServer,
      outcome: 'notDispatched',
      cachedTokens: 0,
      outputTokens: 0,
      firstTokenAfter: undefined,
      duration: 0,
    });
  }

  return {
    from,
    queued,
    granted,
    requestGrant,
    requestGrantRepeatedly,
    enqueue,
    dequeue,
    release,
    returnUnusedGrant,
  };
}
