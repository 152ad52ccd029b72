import type { BackendServerId, Milliseconds, Outcome } from '@rattanreel/core';
import type { LeaseState } from '@rattanreel/platform';
import { match } from 'ts-pattern';
import checkLastServer from './checkLastServer';
import createAdapterMemory from './createAdapterMemory';
import createLoadPacer from './createLoadPacer';
import createOrderBook from './createOrderBook';
import createUnfencedGate from './createUnfencedGate';
import getPlacementPolicy from './getPlacementPolicy';
import logPlacement from './logPlacement';
import planOrders from './planOrders';
import tryGetWait from './tryGetWait';
import type {
  EngineOrderError,
  EngineState,
  PlacedServer,
  PlacementController,
  PlacementControllerOptions,
  PlacementDemand,
  PlacementEffect,
  PlacementMessage,
  PlannedOrder,
} from './types';

type Holding = Parameters<typeof tryGetWait>[2];

const NO_DEMAND: PlacementDemand = { versions: [], adapters: [], roles: [] };

/** Decides the orders of one failure domain while its placement lease is held. */
export default function createPlacementController(
  options: PlacementControllerOptions,
): PlacementController {
  const policy = getPlacementPolicy(options.policy);
  const { failureDomain } = options;
  let servers = new Map<BackendServerId, PlacedServer>();
  const orders = createOrderBook(policy);
  const adapters = createAdapterMemory();
  let demand = NO_DEMAND;
  let holding: Holding | undefined;

  function takeLease(lease: LeaseState, now: Milliseconds): void {
    if (lease.kind === 'notHeld') {
      holding = undefined;
      return;
    }
    if (holding?.generation === lease.generation) {
      return;
    }
    orders.clear();
    holding = {
      generation: lease.generation,
      opensAt: now + policy.leaseDuration + policy.longestOrder + policy.reportLag,
      gate: createUnfencedGate(policy),
      pacer: createLoadPacer(options.loadBudget, now),
    };
  }

  function foreseeServers(now: Milliseconds): readonly PlacedServer[] {
    return [...servers.values()].map((server) => orders.foresee(server, now));
  }

  function send(
    planned: PlannedOrder,
    server: PlacedServer,
    held: Holding,
    now: Milliseconds,
  ): readonly PlacementEffect[] {
    const { backendServer, order } = planned;
    checkLastServer({ servers: foreseeServers(now), demand, server, order });
    orders.sent(backendServer, order, now);
    if (!server.checksFencing) {
      held.gate.sent(backendServer, order, now);
    }
    return [
      { kind: 'sendOrder', backendServer, order, fence: held.generation },
      logPlacement({ failureDomain, decision: 'ordered', planned }),
    ];
  }

  function attempt(planned: PlannedOrder, now: Milliseconds): readonly PlacementEffect[] {
    const server = servers.get(planned.backendServer);
    if (holding === undefined || server === undefined) {
      return [];
    }
    const wait = tryGetWait(planned, server, holding, now);
    if (wait === undefined) {
      return send(planned, server, holding, now);
    }
    if (!orders.noteWait(planned.backendServer, wait)) {
      return [];
    }
    return [
      logPlacement({ failureDomain, decision: 'held', planned: { ...planned, reason: wait } }),
    ];
  }

  function passTime(now: Milliseconds): readonly PlacementEffect[] {
    const held = holding;
    if (held === undefined) {
      return [];
    }
    orders.takeExpired(now).forEach((backendServer) => held.gate.answered(backendServer));
    const reads = held.gate
      .takeDueReads(now)
      .map((backendServer): PlacementEffect => ({ kind: 'readState', backendServer }));
    const planned = planOrders({
      servers: foreseeServers(now),
      demand,
      policy,
      isBusy: (server) => orders.isBusy(server.backendServer, now),
      hasAdapter: adapters.has,
    });
    return [...reads, ...planned.flatMap((order) => attempt(order, now))];
  }

  function takeAnswer(
    backendServer: BackendServerId,
    outcome: Outcome<void, EngineOrderError>,
  ): readonly PlacementEffect[] {
    const order = orders.takeAnswered(backendServer);
    const server = servers.get(backendServer);
    holding?.gate.answered(backendServer);
    if (order === undefined || server === undefined) {
      return [];
    }
    if (outcome.kind === 'ok') {
      if (order.order === 'loadAdapter') {
        adapters.add(server, order.adapter);
      }
      return [];
    }
    if (outcome.error.kind !== 'outcomeUnknown') {
      orders.withdraw(backendServer);
    }
    if (outcome.error.kind === 'staleFence' || outcome.error.kind === 'leaseLost') {
      holding = undefined;
    }
    const { pool } = server;
    const reason = outcome.error.kind;
    const planned = { backendServer, pool, order, reason, alternatives: [] };
    return [logPlacement({ failureDomain, decision: 'failed', planned })];
  }

  function takeState(
    backendServer: BackendServerId,
    state: EngineState | undefined,
    now: Milliseconds,
  ): readonly PlacementEffect[] {
    const server = servers.get(backendServer);
    const read = holding?.gate.read(backendServer, state, now);
    if (server === undefined || read?.kind !== 'overwritten') {
      return [];
    }
    const reason = 'the state read back is not what was ordered last';
    const { order } = read;
    const { pool } = server;
    return attempt({ backendServer, pool, order, reason, alternatives: [] }, now);
  }

  function handle(message: PlacementMessage, now: Milliseconds): readonly PlacementEffect[] {
    return match(message)
      .with({ kind: 'leaseChanged' }, ({ lease }) => {
        takeLease(lease, now);
        return [];
      })
      .with({ kind: 'serversReported' }, (reported) => {
        servers = new Map(reported.servers.map((server) => [server.backendServer, server]));
        return [];
      })
      .with({ kind: 'demandChanged' }, (changed) => {
        demand = changed.demand;
        return [];
      })
      .with({ kind: 'orderAnswered' }, ({ backendServer, outcome }) =>
        takeAnswer(backendServer, outcome),
      )
      .with({ kind: 'stateRead' }, ({ backendServer, state }) =>
        takeState(backendServer, state, now),
      )
      .with({ kind: 'timePassed' }, () => passTime(now))
      .exhaustive();
  }

  return { handle };
}
