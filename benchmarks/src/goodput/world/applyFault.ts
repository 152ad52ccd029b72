import { Debug } from '@rattanreel/core';
import type { FaultAction, Policy, SimulatedEngine, SimulatedHost, World } from '../types';

interface FaultTarget {
  readonly world: World;
  readonly policy: Policy;
  drain(failureDomain: string, drained: boolean): void;
  killHost(host: SimulatedHost): void;
  startHost(host: SimulatedHost): void;
}

function getModelEngine(world: World, index: number): SimulatedEngine {
  return world.engines.filter(({ pool }) => pool === 'drafts')[index]!;
}

function getDomainId(world: World, index: number): string {
  return world.deployment.failureDomains[index]!.id;
}

function loseDomain({ world, killHost }: FaultTarget, failureDomain: string): void {
  world.hosts.filter((host) => host.failureDomain === failureDomain).forEach(killHost);
  world.engines
    .filter((engine) => engine.failureDomain === failureDomain)
    .forEach((engine) => {
      engine.reachable = false;
      engine.model.crash();
    });
}

/** Restarts the hosts and engines of a failure domain; the engines start cold. */
function returnDomain({ world, startHost, drain }: FaultTarget, failureDomain: string): void {
  world.engines
    .filter((engine) => engine.failureDomain === failureDomain)
    .forEach((engine) => {
      engine.model.crash();
      engine.reachable = true;
    });
  drain(failureDomain, false);
  world.hosts.filter((host) => host.failureDomain === failureDomain).forEach(startHost);
}

/** Applies a fault to the simulated world. */
export default function applyFault(target: FaultTarget, action: FaultAction): void {
  const { world, policy } = target;
  switch (action.kind) {
    case 'slowEngine':
      getModelEngine(world, action.engine).model.slowDown(action.factor);
      break;
    case 'coldTurn':
      getModelEngine(world, action.engine).model.resetToCold();
      break;
    case 'drainDomain':
      target.drain(getDomainId(world, action.domain), true);
      break;
    case 'loseDomain':
      loseDomain(target, getDomainId(world, action.domain));
      break;
    case 'returnDomain':
      returnDomain(target, getDomainId(world, action.domain));
      break;
    case 'killSchedulerHost':
      target.killHost(policy.getSchedulerHost(getDomainId(world, action.domain)));
      break;
    default:
      Debug.assertNever(action);
  }
}
