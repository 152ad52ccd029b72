import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerEffect } from '@rattanreel/scheduling';
import type { Policy, SimulatedHost, World } from '../../types';
import createHostAgent from './createHostAgent';
import createMembershipModel from './createMembershipModel';
import createPoolPublisher from './createPoolPublisher';
import createSchedulerPlacement from './createSchedulerPlacement';
import type { FromScheduler, HostAgent, SchedulerRunner, SendToScheduler } from './types';

interface RattanreelOptions {
  readonly world: World;
  readonly seed: number;
}

/** The product's schedulers, with its entry hosts modelled thinly around them. */
export default function createRattanreelPolicy({ world, seed }: RattanreelOptions): Policy {
  const { clock } = world;
  const agents = new Map<string, HostAgent>();
  let schedulerDiedAt: Milliseconds | undefined;
  let diedRunner: SchedulerRunner | undefined;
  let grantsResumedAfterMilliseconds: Milliseconds | undefined;
  let streamsCut = 0;

  const membership = createMembershipModel({ world, onChange });
  const placement = createSchedulerPlacement({
    world,
    membership,
    seed,
    onEffect: carryOut,
    onStarted: introduce,
  });
  const publisher = createPoolPublisher({ world, runners: placement.all });

  const send: SendToScheduler = (from, pool, failureDomain, message) => {
    const runner = placement.tryGet(pool, failureDomain);
    if (runner !== undefined) {
      clock.after(world.latency(from, failureDomain), () => runner.handle(message));
    }
  };

  function startAgent(host: SimulatedHost): void {
    agents.set(host.incarnation, createHostAgent({ world, host, send }));
  }

  function forEachLivingAgent(visit: (agent: HostAgent) => void): void {
    world.hosts
      .filter(({ alive }) => alive)
      .forEach(({ incarnation }) => {
        const agent = agents.get(incarnation);
        if (agent !== undefined) {
          visit(agent);
        }
      });
  }

  function introduce(runner: SchedulerRunner): void {
    publisher.tell(runner);
    runner.handle({ kind: 'membersChanged', alive: membership.all(), dead: [] });
    forEachLivingAgent((agent) => agent.schedulerChanged(runner.pool, runner.failureDomain));
  }

  function onChange(dead: Parameters<Parameters<typeof createMembershipModel>[0]['onChange']>[0]) {
    placement.update();
    const alive = membership.all();
    placement.all().forEach((runner) => runner.handle({ kind: 'membersChanged', alive, dead }));
    world.deployment.failureDomains
      .filter(({ id }) => membership.aliveIn(id).length === 0)
      .forEach(({ id }) => forEachLivingAgent((agent) => agent.domainLost(id)));
  }

  function noteGrant(runner: SchedulerRunner): void {
    const isSuccessor =
      diedRunner !== undefined &&
      runner !== diedRunner &&
      runner.pool === diedRunner.pool &&
      runner.failureDomain === diedRunner.failureDomain;
    if (isSuccessor && schedulerDiedAt !== undefined) {
      grantsResumedAfterMilliseconds ??= clock.now() - schedulerDiedAt;
    }
  }

  function deliver(runner: SchedulerRunner, effect: FromScheduler): void {
    world.sendToHost(runner.failureDomain, effect.to, () =>
      agents.get(effect.to.incarnation)?.receive(runner.pool, runner.failureDomain, effect),
    );
  }

  function carryOut(runner: SchedulerRunner, effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'grant':
        noteGrant(runner);
        deliver(runner, effect);
        break;
      case 'refusal':
      case 'spillOver':
        deliver(runner, effect);
        break;
      case 'cancelAtBackendServer':
        world.cancel(runner.failureDomain, world.getEngine(effect.backendServer), effect.request);
        streamsCut += isHeldByLivingHost(effect.request) ? 1 : 0;
        break;
      case 'standingChanged':
      case 'versionEvidence':
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function isHeldByLivingHost(request: string): boolean {
    return world.hosts.some(
      ({ alive, incarnation }) => alive && agents.get(incarnation)?.holds(request) === true,
    );
  }

  return {
    start() {
      world.hosts.forEach(startAgent);
      placement.update();
      publisher.start();
    },
    arrive: (task) => agents.get(task.incarnation)?.arrive(task),
    callerLeft: (task) => agents.get(task.incarnation)?.callerLeft(task),
    domainDrained: () => {},
    hostDied(host) {
      const runner = placement.all().find((candidate) => candidate.host === host);
      if (runner !== undefined && schedulerDiedAt === undefined) {
        schedulerDiedAt = clock.now();
        diedRunner = runner;
      }
      agents.get(host.incarnation)?.stop();
      membership.died(host);
    },
    hostStarted(host) {
      startAgent(host);
      membership.started(host);
    },
    schedulerHostOf: (failureDomain) =>
      Debug.checkDefined(placement.tryGet('drafts', failureDomain), failureDomain).host,
    observations: () => ({ grantsResumedAfterMilliseconds, streamsCut }),
  };
}
