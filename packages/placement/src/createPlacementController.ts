import type { BackendServerId, Milliseconds, Outcome } from '@rattanreel/core';
import type { LeaseState } from '@rattanreel/platform';
import { match } from 'ts-pattern';
import assertNotLastServer from './assertNotLastServer';
import createAdapterRegistry from './createAdapterRegistry';
import createLoadTokenBucket from './createLoadTokenBucket';
import createEngineOrderTracker from './createEngineOrderTracker';
import createUnfencedOrderGate from './createUnfencedOrderGate';
import getPlacementPolicy from './getPlacementPolicy';
import createPlacementLog from './createPlacementLog';
import planEngineOrders from './planEngineOrders';
import tryGetWaitReason from './tryGetWaitReason';
import type {
  EngineOrderError,
  EngineState,
  PlacedServer,
  PlacementController,
  PlacementControllerOptions,
  PlacementDemand,
  PlacementEffect,
  PlacementMessage,
  PlannedEngineOrder,
} from './types';

type LeaseTerm = Parameters<typeof tryGetWaitReason>[2];

const NO_DEMAND: PlacementDemand = { versions: [], adapters: [], roles: [] };

/** Creates the controller that decides one failure domain's orders while its placement lease is held. */
export default function createPlacementController(
  options: PlacementControllerOptions,
): PlacementController {
  const policy = getPlacementPolicy(options.policy);
  const { failureDomain } = options;
  let servers = new Map<BackendServerId, PlacedServer>();
  const orderTracker = createEngineOrderTracker(policy);
  const adapters = createAdapterRegistry();
  let demand = NO_DEMAND;
  let leaseTerm: LeaseTerm | undefined;

  function applyLease(lease: LeaseState, now: Milliseconds): void {
    if (lease.kind === 'notHeld') {
      leaseTerm = undefined;
      return;
    }
    if (leaseTerm?.generation === lease.generation) {
      return;
    }
    orderTracker.clear();
    leaseTerm = {
      generation: lease.generation,
      sendAllowedAt:
        now + policy.leaseDuration + policy.maximumOrderTime + policy.maximumReportDelay,
      gate: createUnfencedOrderGate(policy),
      loadBucket: createLoadTokenBucket(options.loadBudget, now),
    };
  }

  function getProjectedServers(now: Milliseconds): readonly PlacedServer[] {
    return [...servers.values()].map((server) => orderTracker.getProjectedServer(server, now));
  }

  function send(
    planned: PlannedEngineOrder,
    server: PlacedServer,
    currentTerm: LeaseTerm,
    now: Milliseconds,
  ): readonly PlacementEffect[] {
    const { backendServer, order } = planned;
    assertNotLastServer({ servers: getProjectedServers(now), demand, server, order });
    orderTracker.recordSent(backendServer, order, now);
    if (!server.checksFencing) {
      currentTerm.gate.recordSent(backendServer, order, now);
    }
    return [
      { kind: 'sendOrder', backendServer, order, fence: currentTerm.generation },
      createPlacementLog({ failureDomain, decision: 'ordered', planned }),
    ];
  }

  function trySend(planned: PlannedEngineOrder, now: Milliseconds): readonly PlacementEffect[] {
    const server = servers.get(planned.backendServer);
    if (leaseTerm === undefined || server === undefined) {
      return [];
    }
    const reason = tryGetWaitReason(planned, server, leaseTerm, now);
    if (reason === undefined) {
      return send(planned, server, leaseTerm, now);
    }
    if (!orderTracker.recordWaitReason(planned.backendServer, reason)) {
      return [];
    }
    return [
      createPlacementLog({ failureDomain, decision: 'held', planned: { ...planned, reason } }),
    ];
  }

  function handleTimePassed(now: Milliseconds): readonly PlacementEffect[] {
    const currentTerm = leaseTerm;
    if (currentTerm === undefined) {
      return [];
    }
    orderTracker
      .removeExpired(now)
      .forEach((backendServer) => currentTerm.gate.recordAnswered(backendServer));
    const reads = currentTerm.gate
      .takeDueReads(now)
      .map((backendServer): PlacementEffect => ({ kind: 'readState', backendServer }));
    const planned = planEngineOrders({
      servers: getProjectedServers(now),
      demand,
      policy,
      isBusy: (server) => orderTracker.isBusy(server.backendServer, now),
      hasAdapter: adapters.has,
    });
    return [...reads, ...planned.flatMap((order) => trySend(order, now))];
  }

  function handleAnswer(
    backendServer: BackendServerId,
    outcome: Outcome<void, EngineOrderError>,
  ): readonly PlacementEffect[] {
    const order = orderTracker.removeAnswered(backendServer);
    const server = servers.get(backendServer);
    leaseTerm?.gate.recordAnswered(backendServer);
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
      orderTracker.discardLoad(backendServer);
    }
    if (outcome.error.kind === 'staleFence' || outcome.error.kind === 'leaseLost') {
      leaseTerm = undefined;
    }
    const { pool } = server;
    const reason = outcome.error.kind;
    const planned = { backendServer, pool, order, reason, alternatives: [] };
    return [createPlacementLog({ failureDomain, decision: 'failed', planned })];
  }

  function handleStateRead(
    backendServer: BackendServerId,
    state: EngineState | undefined,
    now: Milliseconds,
  ): readonly PlacementEffect[] {
    const server = servers.get(backendServer);
    const readBack = leaseTerm?.gate.verifyState(backendServer, state, now);
    if (server === undefined || readBack?.kind !== 'overwritten') {
      return [];
    }
    const reason = 'the state read back does not match the last order';
    const { order } = readBack;
    const { pool } = server;
    return trySend({ backendServer, pool, order, reason, alternatives: [] }, now);
  }

  function handle(message: PlacementMessage, now: Milliseconds): readonly PlacementEffect[] {
    return match(message)
      .with({ kind: 'leaseChanged' }, ({ lease }) => {
        applyLease(lease, now);
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
        handleAnswer(backendServer, outcome),
      )
      .with({ kind: 'stateRead' }, ({ backendServer, state }) =>
        handleStateRead(backendServer, state, now),
      )
      .with({ kind: 'timePassed' }, () => handleTimePassed(now))
      .exhaustive();
  }

  return { handle };
}
