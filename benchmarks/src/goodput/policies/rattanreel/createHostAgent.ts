import { Debug } from '@rattanreel/core';
import type { FailureDomainId } from '@rattanreel/core';
import type { Grant } from '@rattanreel/scheduling';
import type { DispatchEnd, PoolName, SimulatedHost, World } from '../../types';
import createGrantTracker from './createGrantTracker';
import toInFlightRequest from './toInFlightRequest';
import type {
  SchedulerReply,
  GrantedRequest,
  HostAgent,
  QueuedRequest,
  SendToScheduler,
} from './types';

const MAXIMUM_ATTEMPTS = 3;

interface HostAgentOptions {
  readonly world: World;
  readonly host: SimulatedHost;
  readonly send: SendToScheduler;
}

/** Creates an agent that requests grants, uses each at most once and releases them. */
export default function createHostAgent({ world, host, send }: HostAgentOptions): HostAgent {
  const { clock } = world;
  const home = host.failureDomain;
  const grantTracker = createGrantTracker({ world, host, send });
  const { queued, granted, from, enqueue, dequeue, requestGrantRepeatedly, release } = grantTracker;

  function retry(entry: GrantedRequest): void {
    const { task } = entry.queued;
    if (entry.queued.attempts >= MAXIMUM_ATTEMPTS) {
      world.refuseRequest(task, 'notConnected');
    } else {
      enqueue({ ...entry.queued, failureDomain: home, timer: undefined });
    }
  }

  function finish(entry: GrantedRequest, dispatchEnd: DispatchEnd): void {
    const { task } = entry.queued;
    switch (dispatchEnd.kind) {
      case 'completed':
        entry.cachedTokens = dispatchEnd.cachedTokens;
        release(entry, 'completed', dispatchEnd.outputTokens);
        world.completeRequest(task);
        break;
      case 'notConnected':
        release(entry, 'notDispatched', 0);
        retry(entry);
        break;
      case 'refused':
        release(entry, 'backendServerRefused', 0);
        world.refuseRequest(task, 'backendServerRefused');
        break;
      case 'failed':
        release(entry, 'backendServerFailed', dispatchEnd.outputTokens);
        world.failRequest(task);
        break;
      case 'cancelled':
        release(entry, 'callerGone', dispatchEnd.outputTokens);
        break;
      default:
        Debug.assertNever(dispatchEnd);
    }
  }

  function reportFirstToken(entry: GrantedRequest, cachedTokens: number): void {
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

  function useGrant(entry: QueuedRequest, failureDomain: FailureDomainId, grant: Grant): void {
    dequeue(entry);
    entry.attempts += 1;
    const grantedRequest: GrantedRequest = {
      queued: entry,
      grant,
      failureDomain,
      dispatchedAt: clock.now(),
      firstTokenAfter: undefined,
      cachedTokens: 0,
    };
    granted.set(grant.request, grantedRequest);
    world.dispatch(entry.task, world.getEngine(grant.backendServer), {
      onFirstToken: (cachedTokens) => reportFirstToken(grantedRequest, cachedTokens),
      onEnd: (end) => finish(grantedRequest, end),
    });
  }

  function receiveGrant(pool: PoolName, failureDomain: FailureDomainId, grant: Grant): void {
    const entry = queued.get(grant.request);
    const isFresh = clock.now() - grant.echo <= grant.lifetime;
    if (entry !== undefined && isFresh) {
      useGrant(entry, failureDomain, grant);
    } else if (granted.get(grant.request)?.grant.backendServer !== grant.backendServer) {
      grantTracker.returnUnusedGrant(pool, failureDomain, grant);
    }
  }

  function receive(pool: PoolName, failureDomain: FailureDomainId, message: SchedulerReply): void {
    if (message.kind === 'grant') {
      receiveGrant(pool, failureDomain, message);
      return;
    }
    const entry = queued.get(message.request);
    if (entry?.failureDomain !== failureDomain) {
      return;
    }
    if (message.kind === 'spillOver') {
      entry.failureDomain = message.failureDomain;
      requestGrantRepeatedly(entry);
    } else {
      dequeue(entry);
      world.refuseRequest(entry.task, message.reason);
    }
  }

  return {
    arrive: (task) => enqueue({ task, failureDomain: home, timer: undefined, attempts: 0 }),
    cancelForCaller({ arrival }) {
      const queuedRequest = queued.get(arrival.request);
      if (queuedRequest !== undefined) {
        dequeue(queuedRequest);
        const { failureDomain } = queuedRequest;
        const { request, pool } = arrival;
        send(home, pool, failureDomain, { kind: 'grantWithdrawn', request, from });
      }
      const grantedRequest = granted.get(arrival.request);
      if (grantedRequest !== undefined) {
        world.cancel(home, world.getEngine(grantedRequest.grant.backendServer), arrival.request);
      }
    },
    receive,
    handleSchedulerChange(pool, failureDomain) {
      send(home, pool, failureDomain, {
        kind: 'inFlightReported',
        from,
        inFlight: [...granted.values()]
          .filter(
            (entry) =>
              entry.failureDomain === failureDomain && entry.queued.task.arrival.pool === pool,
          )
          .map(toInFlightRequest),
      });
      queued.forEach((entry) => {
        if (entry.failureDomain === failureDomain && entry.task.arrival.pool === pool) {
          grantTracker.requestGrant(entry);
        }
      });
    },
    handleDomainLoss(failureDomain) {
      queued.forEach((entry) => {
        if (entry.failureDomain === failureDomain) {
          entry.failureDomain = home;
          requestGrantRepeatedly(entry);
        }
      });
    },
    hasGrant: (request) => granted.has(request),
    stop() {
      queued.forEach((entry) => entry.timer?.cancel());
    },
  };
}
