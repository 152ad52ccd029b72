import { createRandom, Debug } from '@rattanreel/core';
import type { BackendServerId, EntryHostId } from '@rattanreel/core';
import type { DispatchEnd, Policy, RequestTask, SimulatedEngine, World } from '../types';
import startPolling from './startPolling';
import type { BaselineChoice, BaselineView, ReportedLoads } from './types';

const MAXIMUM_ATTEMPTS = 3;
const POLL_INTERVAL_MILLISECONDS = 500;

interface BaselineOptions {
  readonly world: World;
  readonly seed: number;
  readonly choose: BaselineChoice;
}

/** Requests that one entry host has in flight, by engine. */
type InFlightCounts = Map<BackendServerId, number>;

/**
 * Creates a policy that dispatches each request at once to an engine of any failure domain, chosen
 * by its entry host alone. Engines that report unready or leaving, and those of a drained domain,
 * get no requests. A request that its engine refuses or cannot receive is dispatched to another
 * engine.
 */
export default function createBaselinePolicy(options: BaselineOptions): Policy {
  const { world, choose } = options;
  const random = createRandom(options.seed);
  const inFlightByIncarnation = new Map<string, InFlightCounts>();
  const nextTurns = new Map<string, number>();
  const engineByRequest = new Map<string, SimulatedEngine>();
  const loadsByHost = new Map<EntryHostId, ReportedLoads>();

  function getInFlightCounts({ incarnation }: RequestTask): InFlightCounts {
    const counts = inFlightByIncarnation.get(incarnation) ?? new Map<BackendServerId, number>();
    inFlightByIncarnation.set(incarnation, counts);
    return counts;
  }

  function addInFlight(task: RequestTask, engine: SimulatedEngine, change: number): void {
    const counts = getInFlightCounts(task);
    counts.set(engine.id, (counts.get(engine.id) ?? 0) + change);
  }

  function listViews(task: RequestTask, tried: ReadonlySet<BackendServerId>): BaselineView[] {
    const counts = getInFlightCounts(task);
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
        ownInFlight: counts.get(engine.id) ?? 0,
        reported: loads.get(engine.id)?.requests ?? 0,
      }));
  }

  function finish(task: RequestTask, dispatchEnd: DispatchEnd, tried: Set<BackendServerId>): void {
    switch (dispatchEnd.kind) {
      case 'completed':
        world.completeRequest(task);
        break;
      case 'notConnected':
      case 'refused':
        dispatch(task, tried);
        break;
      case 'failed':
        world.failRequest(task);
        break;
      case 'cancelled':
        break;
      default:
        Debug.assertNever(dispatchEnd);
    }
  }

  function dispatch(task: RequestTask, tried: Set<BackendServerId>): void {
    const views = listViews(task, tried);
    if (views.length === 0 || tried.size >= MAXIMUM_ATTEMPTS) {
      world.refuseRequest(task, 'noBackendServer');
      return;
    }
    const turn = nextTurns.get(task.incarnation) ?? random.integer(0, views.length - 1);
    nextTurns.set(task.incarnation, turn + 1);
    const { engine } = choose(views, turn, random);
    tried.add(engine.id);
    engineByRequest.set(task.arrival.request, engine);
    addInFlight(task, engine, 1);
    world.dispatch(task, engine, {
      onFirstToken: () => {},
      onEnd(end) {
        if (engineByRequest.get(task.arrival.request) === engine) {
          engineByRequest.delete(task.arrival.request);
          addInFlight(task, engine, -1);
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
    arrive: (task) => dispatch(task, new Set()),
    handleCallerDisconnect(task) {
      const engine = engineByRequest.get(task.arrival.request);
      if (engine !== undefined) {
        engineByRequest.delete(task.arrival.request);
        addInFlight(task, engine, -1);
        world.cancel(task.host.failureDomain, engine, task.arrival.request);
      }
    },
    handleDomainDrain: () => {},
    handleHostDeath: () => {},
    handleHostStart: () => {},
    getSchedulerHost: (failureDomain) =>
      world.hosts.find((host) => host.failureDomain === failureDomain && host.alive)!,
    getObservations: () => ({ grantsResumedAfterMilliseconds: undefined, streamsCut: 0 }),
  };
}
