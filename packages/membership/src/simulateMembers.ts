import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { EntryHostId } from '@rattanreel/core';
import createIncarnation from './createIncarnation';
import createMembership from './createMembership';
import type { MembershipMessage, SimulatedMember, SimulatedMembers } from './types';

interface SimulateMembersOptions {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly seed: number;
  /** Fraction of messages that are lost. */
  readonly loss?: number;
}

const MINIMUM_LATENCY_MILLISECONDS = 1;
const MAXIMUM_LATENCY_MILLISECONDS = 3;

/** Simulates many memberships over a lossy network in virtual time; for tests. */
export default function simulateMembers(options: SimulateMembersOptions): SimulatedMembers {
  const { domains, hostsPerDomain, seed, loss = 0 } = options;
  const clock = createVirtualClock();
  const random = createRandom(seed);
  const hosts = new Map<EntryHostId, SimulatedMember>();
  const failed = new Set<string>();
  const sentCounts: SimulatedMembers['sentCounts'] = new Map();
  const entryHosts = Array.from({ length: domains * hostsPerDomain }, (_, index) => {
    const failureDomain = `d${Math.floor(index / hostsPerDomain)}`;
    const id = `${failureDomain}-h${index % hostsPerDomain}`;
    return { id, failureDomain, peerAddress: `${id}:1` };
  });

  function isLinkFailed(from: EntryHostId, to: EntryHostId): boolean {
    return failed.has(`${from} ${to}`) || failed.has(`${from} *`) || failed.has(`* ${to}`);
  }

  function handle(host: SimulatedMember, message: MembershipMessage): void {
    if (!host.running) {
      return;
    }
    if (host.paused) {
      host.backlog.push(message);
      return;
    }
    for (const effect of host.membership.handle(message, clock.now())) {
      if (effect.kind !== 'sendToPeer') {
        host.effects.push(effect);
        continue;
      }
      const { message: peerMessage } = effect;
      sentCounts.set(peerMessage.kind, (sentCounts.get(peerMessage.kind) ?? 0) + 1);
      if (!isLinkFailed(host.id, effect.entryHost) && random.next() >= loss) {
        clock.after(
          random.integer(MINIMUM_LATENCY_MILLISECONDS, MAXIMUM_LATENCY_MILLISECONDS),
          () => {
            const target = hosts.get(effect.entryHost);
            if (target !== undefined) {
              handle(target, { kind: 'peerMessageReceived', message: peerMessage });
            }
          },
        );
      }
    }
  }

  function tick(host: SimulatedMember): void {
    if (host.running) {
      handle(host, { kind: 'timePassed' });
      const wait = host.membership.getNextWakeUp(clock.now()) - clock.now();
      clock.after(Math.max(1, wait), () => tick(host));
    }
  }

  function start(id: EntryHostId): SimulatedMember {
    const configured = entryHosts.find((host) => host.id === id)!;
    const host: SimulatedMember = {
      id,
      running: true,
      paused: false,
      backlog: [],
      effects: [],
      membership: createMembership({
        entryHost: id,
        failureDomain: configured.failureDomain,
        address: configured.peerAddress,
        incarnation: createIncarnation(clock.now(), random),
        entryHosts,
        startedAt: clock.now(),
        random,
      }),
    };
    hosts.set(id, host);
    clock.after(random.integer(0, 250), () => tick(host));
    return host;
  }

  entryHosts.forEach(({ id }) => start(id));
  return {
    clock,
    failedLinks: failed,
    sentCounts,
    host: (id) => hosts.get(id)!,
    hosts: () => [...hosts.values()],
    start,
    stop(id) {
      hosts.get(id)!.running = false;
    },
    pause(id) {
      hosts.get(id)!.paused = true;
    },
    resume(id) {
      const host = hosts.get(id)!;
      host.paused = false;
      host.backlog.splice(0).forEach((message) => handle(host, message));
    },
    deliver: (id, message) => handle(hosts.get(id)!, message),
  };
}
