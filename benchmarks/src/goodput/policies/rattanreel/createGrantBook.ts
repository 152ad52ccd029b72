import type { FailureDomainId, RequestId } from '@rattanreel/core';
import type { EntryHostIncarnation, Grant, ReleaseOutcome } from '@rattanreel/scheduling';
import type { PoolName, SimulatedHost, World } from '../../types';
import type { HeldEntry, QueuedEntry, SendToScheduler } from './types';

const ASK_INTERVAL_MILLISECONDS = 500;

interface GrantBookOptions {
  readonly world: World;
  readonly host: SimulatedHost;
  readonly send: SendToScheduler;
}

/** What one entry host has queued and granted, and what it tells schedulers of it. */
interface GrantBook {
  readonly from: EntryHostIncarnation;
  readonly queued: ReadonlyMap<RequestId, QueuedEntry>;
  readonly held: Map<RequestId, HeldEntry>;
  ask(entry: QueuedEntry): void;
  /** Asks now and again at intervals, which renews the stamp that a grant echoes. */
  keepAsking(entry: QueuedEntry): void;
  enqueue(entry: QueuedEntry): void;
  dequeue(entry: QueuedEntry): void;
  release(entry: HeldEntry, outcome: ReleaseOutcome, outputTokens: number): void;
  /** Gives back a grant that came too late or for a request that has gone. */
  sendBackUnused(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void;
}

/** An empty book. */
export default function createGrantBook({ world, host, send }: GrantBookOptions): GrantBook {
  const { clock } = world;
  const home = host.failureDomain;
  const from = { entryHost: host.id, incarnation: host.incarnation };
  const queued = new Map<RequestId, QueuedEntry>();
  const held = new Map<RequestId, HeldEntry>();

  function ask({ task, failureDomain }: QueuedEntry): void {
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

  function keepAsking(entry: QueuedEntry): void {
    entry.timer?.cancel();
    ask(entry);
    entry.timer = clock.after(ASK_INTERVAL_MILLISECONDS, () => keepAsking(entry));
  }

  function enqueue(entry: QueuedEntry): void {
    queued.set(entry.task.arrival.request, entry);
    keepAsking(entry);
  }

  function dequeue(entry: QueuedEntry): void {
    entry.timer?.cancel();
    queued.delete(entry.task.arrival.request);
  }

  function release(entry: HeldEntry, outcome: ReleaseOutcome, outputTokens: number): void {
    const { arrival } = entry.queued.task;
    held.delete(arrival.request);
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

  function sendBackUnused(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void {
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

  return { from, queued, held, ask, keepAsking, enqueue, dequeue, release, sendBackUnused };
}
