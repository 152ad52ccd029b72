import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerEffect } from '@rattanreel/scheduling';
import type { Policy, SimulatedHost, World } from '../../types';
import createHostAgent from './createHostAgent';
import createMembershipModel from './createMembershipModel';
import createPoolPublisher from './createPoolPublisher';
import createSchedulerPlacement from './createSchedulerPlacement';
import type { SchedulerReply, HostAgent, SchedulerRunner, SendToScheduler } from './types';

interface RattanreelOptions {
  readonly world: World;
  readonly seed: number;
}

/** Creates the product's policy: its real schedulers and a simplified model of its entry hosts. */
export default function createRattanreelPolicy({ world, seed }: RattanreelOptions): Policy {
  const { clock } = world;
  const agents = new Map<string, HostAgent>();
  let schedulerDiedAt: Milliseconds | undefined;
  let diedRunner: SchedulerRunner | undefined;
  let grantsResumedAfterMilliseconds: Milliseconds | undefined;
  let streamsCut = 0;

  const membership = createMembershipModel({ world, onChange: updateMembers });
  const placement = createSchedulerPlacement({
    world,
    membership,
    seed,
    onEffect: applyEffect,
    onStarted: initialiseScheduler,
  });
  const publisher = createPoolPublisher({ world, getRunners: placement.getAll });

  const send: SendToScheduler = (from, pool, failureDomain, message) => {
    const runner = placement.tryGet(pool, failureDomain);
    if (runner !== undefined) {
      clock.after(world.getLatency(from, failureDomain), () => runner.handle(message));
    }
  };

  function startAgent(host: SimulatedHost): void {
    agents.set(host.incarnation, createHostAgent({ world, host, send }));
  }

  function forEachRunningAgent(visit: (agent: HostAgent) => void): void {
    world.hosts
      .filter(({ alive }) => alive)
      .forEach(({ incarnation }) => {
        const agent = agents.get(incarnation);
        if (agent !== undefined) {
          visit(agent);
        }
      });
  }

  function initialiseScheduler(runner: SchedulerRunner): void {
    publisher.publishTo(runner);
    runner.handle({ kind: 'membersChanged', alive: membership.getAll(), dead: [] });
    forEachRunningAgent((agent) => agent.handleSchedulerChange(runner.pool, runner.failureDomain));
  }

  function updateMembers(
    dead: Parameters<Parameters<typeof createMembershipModel>[0]['onChange']>[0],
  ) {
    placement.update();
    const alive = membership.getAll();
    placement.getAll().forEach((runner) => runner.handle({ kind: 'membersChanged', alive, dead }));
    world.deployment.failureDomains
      .filter(({ id }) => membership.getAliveIn(id).length === 0)
      .forEach(({ id }) => forEachRunningAgent((agent) => agent.handleDomainLoss(id)));
  }

  function recordGrant(runner: SchedulerRunner): void {
    const isSuccessor =
      diedRunner !== undefined &&
      runner !== diedRunner &&
      runner.pool === diedRunner.pool &&
      runner.failureDomain === diedRunner.failureDomain;
    if (isSuccessor && schedulerDiedAt !== undefined) {
      grantsResumedAfterMilliseconds ??= clock.now() - schedulerDiedAt;
    }
  }

  function deliver(runner: SchedulerRunner, effect: SchedulerReply): void {
    world.sendToHost(runner.failureDomain, effect.to, () =>
      agents.get(effect.to.incarnation)?.receive(runner.pool, runner.failureDomain, effect),
    );
  }

  function applyEffect(runner: SchedulerRunner, effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'grant':
        recordGrant(runner);
        deliver(runner, effect);
        break;
      case 'refusal':
      case 'spillOver':
        deliver(runner, effect);
        break;
      case 'cancelAtBackendServer':
        world.cancel(runner.failureDomain, world.getEngine(effect.backendServer), effect.request);
        streamsCut += isGrantedToRunningHost(effect.request) ? 1 : 0;
        break;
      case 'standingChanged':
      case 'versionEvidence':
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function isGrantedToRunningHost(request: string): boolean {
    return world.hosts.some(
      ({ alive, incarnation }) => alive && agents.get(incarnation)?.hasGrant(request) === true,
    );
  }

  return {
    start() {
      world.hosts.forEach(startAgent);
      placement.update();
      publisher.start();
    },
    arrive: (task) => agents.get(task.incarnation)?.arrive(task),
    handleCallerDisconnect: (task) => agents.get(task.incarnation)?.cancelForCaller(task),
    handleDomainDrain: () => {},
    handleHostDeath(host) {
      const runner = placement.getAll().find((candidate) => candidate.host === host);
      if (runner !== undefined && schedulerDiedAt === undefined) {
        schedulerDiedAt = clock.now();
        diedRunner = runner;
      }
      agents.get(host.incarnation)?.stop();
      membership.removeAfterDetection(host);
    },
    handleHostStart(host) {
      startAgent(host);
      membership.addAfterJoin(host);
    },
    getSchedulerHost: (failureDomain) =>
      Debug.checkDefined(placement.tryGet('drafts', failureDomain), failureDomain).host,
    getObservations: () => ({ grantsResumedAfterMilliseconds, streamsCut }),
  };
}
