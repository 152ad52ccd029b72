import { Debug } from '@rattanreel/core';
import type { FailureDomainId } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import type { DispatchEnd, PoolName, SimulatedHost, World } from '../../types';
import createGrantBook from './createGrantBook';
import toInFlight from './toInFlight';
import type { FromScheduler, HeldEntry, HostAgent, QueuedEntry, SendToScheduler } from './types';

const MOST_ATTEMPTS = 3;

interface HostAgentOptions {
  readonly world: World;
  readonly host: SimulatedHost;
  readonly send: SendToScheduler;
}

/** Asks for grants, uses each at most once, and gives them back. */
export default function createHostAgent({ world, host, send }: HostAgentOptions): HostAgent {
  const { clock } = world;
  const home = host.failureDomain;
  const book = createGrantBook({ world, host, send });
  const { queued, held, from, enqueue, dequeue, keepAsking, release } = book;

  function askAnotherTime(entry: HeldEntry): void {
    const { task } = entry.queued;
    if (entry.queued.attempts >= MOST_ATTEMPTS) {
      world.refuse(task, 'notConnected');
    } else {
      enqueue({ ...entry.queued, failureDomain: home, timer: undefined });
    }
  }

  function finish(entry: HeldEntry, end: DispatchEnd): void {
    const { task } = entry.queued;
    switch (end.kind) {
      case 'completed':
        entry.cachedTokens = end.cachedTokens;
        release(entry, 'completed', end.outputTokens);
        world.answer(task);
        break;
      case 'notConnected':
        release(entry, 'notDispatched', 0);
        askAnotherTime(entry);
        break;
      case 'refused':
        release(entry, 'backendServerRefused', 0);
        world.refuse(task, 'backendServerRefused');
        break;
      case 'failed':
        release(entry, 'backendServerFailed', end.outputTokens);
        world.fail(task);
        break;
      case 'cancelled':
        release(entry, 'callerGone', end.outputTokens);
        break;
      default:
        Debug.assertNever(end);
    }
  }

  function seeFirstToken(entry: HeldEntry, cachedTokens: number): void {
    const { arrival } = entry.queued.task;
    entry.firstTokenAfter = clock.now() - entry.dispatchedAt;
    entry.cachedTokens = cachedTokens;
    send(home, arrival.pool, entry.failureDomain, {
      kind: 'firstTokenSeen',
      request: arrival.request,
      from,
      firstTokenAfter: entry.firstTokenAfter,
      cachedTokens,
    });
  }

  function use(entry: QueuedEntry, failureDomain: FailureDomainId, grant: Grant): void {
    dequeue(entry);
    entry.attempts += 1;
    const holding: HeldEntry = {
      queued: entry,
      grant,
      failureDomain,
      dispatchedAt: clock.now(),
      firstTokenAfter: undefined,
      cachedTokens: 0,
    };
    held.set(grant.request, holding);
    world.dispatch(entry.task, world.getEngine(grant.backendServer), {
      onFirstToken: (cachedTokens) => seeFirstToken(holding, cachedTokens),
      onEnd: (end) => finish(holding, end),
    });
  }

  function takeGrant(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void {
    const entry = queued.get(grant.request);
    const isFresh = clock.now() - grant.echo <= grant.lifetime;
    if (entry !== undefined && isFresh) {
      use(entry, failureDomain, grant);
    } else if (held.get(grant.request)?.grant.backendServer !== grant.backendServer) {
      book.sendBackUnused(pool, failureDomain, grant);
    }
  }

  function receive(pool: PoolName, failureDomain: FailureDomainId, message: FromScheduler): void {
    if (message.kind === 'grant') {
      takeGrant(pool, failureDomain, message);
      return;
    }
    const entry = queued.get(message.request);
    if (entry?.failureDomain !== failureDomain) {
      return;
    }
    if (message.kind === 'spillOver') {
      entry.failureDomain = message.failureDomain;
      keepAsking(entry);
    } else {
      dequeue(entry);
      world.refuse(entry.task, message.reason);
    }
  }

  return {
    arrive: (task) => enqueue({ task, failureDomain: home, timer: undefined, attempts: 0 }),
    callerLeft({ arrival }) {
      const waiting = queued.get(arrival.request);
      if (waiting !== undefined) {
        dequeue(waiting);
        const { failureDomain } = waiting;
        const { request, pool } = arrival;
        send(home, pool, failureDomain, { kind: 'grantWithdrawn', request, from });
      }
      const holding = held.get(arrival.request);
      if (holding !== undefined) {
        world.cancel(home, world.getEngine(holding.grant.backendServer), arrival.request);
      }
    },
    receive,
    schedulerChanged(pool, failureDomain) {
      send(home, pool, failureDomain, {
        kind: 'inFlightReported',
        from,
        inFlight: [...held.values()]
          .filter(
            (entry) =>
              entry.failureDomain === failureDomain && entry.queued.task.arrival.pool === pool,
          )
          .map(toInFlight),
      });
      queued.forEach((entry) => {
        if (entry.failureDomain === failureDomain && entry.task.arrival.pool === pool) {
          book.ask(entry);
        }
      });
    },
    domainLost(failureDomain) {
      queued.forEach((entry) => {
        if (entry.failureDomain === failureDomain) {
          entry.failureDomain = home;
          keepAsking(entry);
        }
      });
    },
    holds: (request) => held.has(request),
    stop() {
      queued.forEach((entry) => entry.timer?.cancel());
    },
  };
}
