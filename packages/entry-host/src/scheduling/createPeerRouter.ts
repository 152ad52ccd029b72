import type { FailureDomainId, PoolId } from '@rattanreel/core';
import type { PeerRouter, PeerRouterOptions } from './types';
import type { ToScheduler } from '../types';

/**
 * Routes messages to the scheduler of a pool, on this or another entry host, and its responses
 * back.
 */
export default function createPeerRouter(options: PeerRouterOptions): PeerRouter {
  const { failureDomain, membership } = options;

  const { sendToPeer } = options;

  function tryDeliverLocally(pool: PoolId, message: ToScheduler): boolean {
    const task = options.tryGetTask(pool);
    task?.handle(message);
    return task !== undefined;
  }

  function routeToScheduler(
    pool: PoolId,
    domain: FailureDomainId,
    message: ToScheduler,
    forwarded: boolean,
  ): void {
    const target = membership.tryGetScheduler(pool, domain)?.entryHost;
    if (domain === failureDomain && target === membership.self().entryHost) {
      tryDeliverLocally(pool, message);
    } else if (target !== undefined) {
      sendToPeer(target, { kind: 'toScheduler', pool, failureDomain: domain, message, forwarded });
    }
  }

  return {
    sendToScheduler(pool, domain, message) {
      // A scheduler on this host handles the message only after the sender's own step.
      queueMicrotask(() => routeToScheduler(pool, domain, message, false));
    },
    sendToHost(pool, message) {
      const { entryHost } = message.to;
      if (entryHost === membership.self().entryHost) {
        options.receiveFromScheduler(pool, failureDomain, message);
      } else {
        sendToPeer(entryHost, { kind: 'fromScheduler', pool, failureDomain, message });
      }
    },
    receive(message) {
      switch (message.kind) {
        case 'fromScheduler':
          options.receiveFromScheduler(message.pool, message.failureDomain, message.message);
          break;
        case 'membership':
          options.receiveMembership(message.message);
          break;
        case 'configuration':
          options.receiveConfiguration(message.message);
          break;
        case 'move':
          options.receiveMove(message.pool, message.message);
          break;
        case 'toScheduler':
          if (!tryDeliverLocally(message.pool, message.message) && !message.forwarded) {
            routeToScheduler(message.pool, failureDomain, message.message, true);
          }
          break;
        default:
          message satisfies never;
      }
    },
  };
}
