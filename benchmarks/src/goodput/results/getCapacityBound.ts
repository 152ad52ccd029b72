import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { DeploymentProfile, Fault, MeasuredWindow } from '../types';
import type { WorkModel } from '../workload/types';

/**
 * Minimum time lost by an engine that warms up: its speed rises linearly from a quarter over 15 s.
 */
const MINIMUM_WARM_UP_LOSS_MILLISECONDS = 5_625;
const RESTART_MILLISECONDS = 5_000;

interface BoundOptions {
  readonly deployment: DeploymentProfile;
  readonly work: WorkModel;
  readonly window: MeasuredWindow;
  readonly faults: readonly Fault[];
}

interface EngineCapacity {
  readonly index: number;
  readonly domain: number;
  readonly speed: number;
}

function listEngines({ deployment, work }: BoundOptions): EngineCapacity[] {
  const engines: EngineCapacity[] = [];
  deployment.failureDomains.forEach((failureDomain, domain) =>
    failureDomain.engines.forEach((generation) =>
      engines.push({ index: engines.length, domain, speed: work.getSpeed(generation) }),
    ),
  );
  return engines;
}

/** Returns the time at full speed that equals the engine's capacity in the window. */
function getUsableTime(engine: EngineCapacity, { window, faults }: BoundOptions): Milliseconds {
  let usable = 0;
  let share = 1;
  let since = window.from;

  function changeShare(at: Milliseconds, next: number): void {
    usable += Math.max(0, Math.min(at, window.to) - since) * share;
    since = Math.max(since, Math.min(at, window.to));
    share = next;
  }

  faults.forEach(({ at, action }) => {
    switch (action.kind) {
      case 'slowEngine':
        if (action.engine === engine.index) {
          changeShare(at, 1 / action.factor);
        }
        break;
      case 'coldTurn':
        usable -= action.engine === engine.index ? MINIMUM_WARM_UP_LOSS_MILLISECONDS : 0;
        break;
      case 'loseDomain':
        if (action.domain === engine.domain) {
          changeShare(at, 0);
        }
        break;
      case 'returnDomain':
        if (action.domain === engine.domain) {
          changeShare(at + RESTART_MILLISECONDS, 1);
          usable -= MINIMUM_WARM_UP_LOSS_MILLISECONDS;
        }
        break;
      case 'drainDomain':
      case 'killSchedulerHost':
        break;
      default:
        Debug.assertNever(action);
    }
  });
  changeShare(window.to, share);
  return Math.max(0, usable);
}

/**
 * Returns an upper bound of the work that a deployment's engines can do in the measured window,
 * with the faults taken into account.
 */
export default function getCapacityBound(options: BoundOptions): number {
  return listEngines(options).reduce(
    (sum, engine) => sum + engine.speed * getUsableTime(engine, options),
    0,
  );
}
