import { createRandom, Debug } from '@rattanreel/core';
import type { BackendServerId, EntryHostId } from '@rattanreel/core';
import type { DispatchEnd, Policy, RequestTask, SimulatedEngine, World } from '../types';
import startPolling from './startPolling';
import type { BaselineChoice, BaselineView, ReportedLoads } from './types';

const MOST_ATTEMPTS = 3;
const POLL_INTERVAL_MILLISECONDS = 500;

interface BaselineOptions {
  readonly world: World;
  readonly seed: number;
  readonly choose: BaselineChoice;
}

/** Requests that one entry host has at each engine. */
type HostLedger = Map<BackendServerId, number>;

/**
 * Sends each request at once to an engine of any failure domain, chosen by its entry host alone. Engines that report
 * unready or leaving, and those of a drained domain, get nothing; an engine that refuses is replaced by another.
 */
export default function createBaselinePolicy(options: BaselineOptions): Policy {
  const { world, choose } = options;
  const random = createRandom(options.seed);
  const ledgers = new Map<string, HostLedger>();
  const turns = new Map<string, number>();
  const engineOf = new Map<string, SimulatedEngine>();
  const loadsByHost = new Map<EntryHostId, ReportedLoads>();

  function ledgerOf({ incarnation }: RequestTask): HostLedger {
    const ledger = ledgers.get(incarnation) ?? new Map<BackendServerId, number>();
    ledgers.set(incarnation, ledger);
    return ledger;
  }

  function count(task: RequestTask, engine: SimulatedEngine, change: number): void {
    const ledger = ledgerOf(task);
    ledger.set(engine.id, (ledger.get(engine.id) ?? 0) + change);
  }

  function viewsFor(task: RequestTask, tried: ReadonlySet<BackendServerId>): BaselineView[] {
    const ledger = ledgerOf(task);
    const loads = loadsByHost.get(task.host.id)!;
    return world.engines
      .filter(
        ({ id, pool, failureDomain }) =>
          pool === task.arrival.pool &&
          !tried.has(id) &&
          !world.drainedDomains.has(failureDomain) &&
          loads.get(id)?.usable === true,
      )
      .map((engine) => ({
        engine,
        ownInFlight: ledger.get(engine.id) ?? 0,
        reported: loads.get(engine.id)?.requests ?? 0,
      }));
  }

  function finish(task: RequestTask, end: DispatchEnd, tried: Set<BackendServerId>): void {
    switch (end.kind) {
      case 'completed':
        world.answer(task);
        break;
      case 'notConnected':
      case 'refused':
        send(task, tried);
        break;
      case 'failed':
        world.fail(task);
        break;
      case 'cancelled':
        break;
      default:
        Debug.assertNever(end);
    }
  }

  function send(task: RequestTask, tried: Set<BackendServerId>): void {
    const views = viewsFor(task, tried);
    if (views.length === 0 || tried.size >= MOST_ATTEMPTS) {
      world.refuse(task, 'noBackendServer');
      return;
    }
    const turn = turns.get(task.incarnation) ?? random.integer(0, views.length - 1);
    turns.set(task.incarnation, turn + 1);
    const { engine } = choose(views, turn, random);
    tried.add(engine.id);
    engineOf.set(task.arrival.request, engine);
    count(task, engine, 1);
    world.dispatch(task, engine, {
      onFirstToken: () => {},
      onEnd(end) {
        if (engineOf.get(task.arrival.request) === engine) {
          engineOf.delete(task.arrival.request);
          count(task, engine, -1);
          finish(task, end, tried);
        }
      },
    });
  }

  return {
    start() {
      world.hosts.forEach(({ id }, index) => {
        const delay = (POLL_INTERVAL_MILLISECONDS * index) / world.hosts.length;
        loadsByHost.set(id, startPolling(world, delay));
      });
    },
    arrive: (task) => send(task, new Set()),
    callerLeft(task) {
      const engine = engineOf.get(task.arrival.request);
      if (engine !== undefined) {
        engineOf.delete(task.arrival.request);
        count(task, engine, -1);
        world.cancel(task.host.failureDomain, engine, task.arrival.request);
      }
    },
    domainDrained: () => {},
    hostDied: () => {},
    hostStarted: () => {},
    schedulerHostOf: (failureDomain) =>
      world.hosts.find((host) => host.failureDomain === failureDomain && host.alive)!,
    observations: () => ({ grantsResumedAfterMilliseconds: undefined, streamsCut: 0 }),
  };
}
