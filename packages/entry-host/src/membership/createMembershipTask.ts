import { Debug } from '@rattanreel/core';
import type { Timer } from '@rattanreel/core';
import { createMembership } from '@rattanreel/membership';
import type { MembershipEffect, MembershipMessage } from '@rattanreel/membership';
import type { MembershipTask, MembershipTaskOptions } from '../types';

/** Feeds messages and timer events to the membership of this host and carries out its effects. */
export default function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
  const { entryHost, failureDomain, clock } = options;
  const membership = createMembership({
    entryHost,
    failureDomain,
    address: options.address,
    incarnation: options.incarnation,
    entryHosts: [],
    startedAt: clock.now(),
    random: options.random,
  });
  let self = { entryHost, incarnation: options.incarnation };
  let timer: Timer | undefined;
  let closed = false;

  function carryOut(effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'sendToPeer':
        options.send(effect.address, { kind: 'membership', message: effect.message });
        break;
      case 'membersChanged':
        options.onMembersChanged({
          kind: 'membersChanged',
          alive: effect.alive,
          dead: effect.dead,
        });
        break;
      case 'incarnationChanged':
        self = { entryHost, incarnation: effect.incarnation };
        options.onIncarnationChanged();
        break;
      case 'replaced':
        options.onReplaced();
        break;
      case 'laterGenerationSeen':
        options.onLaterGeneration(effect);
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function handle(message: MembershipMessage): void {
    if (closed) {
      return;
    }
    membership.handle(message, clock.now()).forEach(carryOut);
    timer?.cancel();
    const now = clock.now();
    const wait = Math.max(1, membership.getNextWakeUp(now) - now);
    timer = clock.after(wait, () => handle({ kind: 'timePassed' }));
  }

  return {
    start: () => handle({ kind: 'timePassed' }),
    self: () => self,
    handle,
    view: () => membership.view(clock.now()),
    tryGetScheduler: (pool, domain) => membership.tryGetOwner(pool, domain),
    close() {
      handle({ kind: 'departed' });
      closed = true;
      timer?.cancel();
    },
    kill() {
      closed = true;
      timer?.cancel();
    },
  };
}
