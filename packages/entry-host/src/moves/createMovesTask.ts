import type { PoolId } from '@rattanreel/core';
import { callRecordStore, getMoveIdentity } from '@rattanreel/moves';
import type { RecordSeen, StoredMove, VetoReceived } from '@rattanreel/moves';
import type { LeaseState } from '@rattanreel/platform';
import type { BackendServerSummary } from '@rattanreel/scheduling';
import calculateBearableShare from './calculateBearableShare';
import countOldVersionRequests from './countOldVersionRequests';
import createMoveControllerRunner from './createMoveControllerRunner';
import createMoveDelegate from './createMoveDelegate';
import createMoveGuardRunner from './createMoveGuardRunner';
import createMoveDecisionLogger from './createMoveDecisionLogger';
import listParticipants from './listParticipants';
import type {
  MoveControllerRunner,
  MoveGuardRunner,
  MovesContext,
  MovePeerMessage,
  MoveMessageHandler,
  MovesTask,
  MovesTaskOptions,
} from './types';

/** Age of a failure domain's last summary above which the domain counts as unreachable. */
const MAXIMUM_REACHABLE_AGE_MS = 5_000;

/**
 * Runs this entry host's part in moves: the delegates of each failure domain watch the records and
 * try to acquire the moves lease, the lease holder runs the controllers, and a guard runs beside
 * each pool's scheduler.
 */
export default function createMovesTask(options: MovesTaskOptions): MovesTask {
  const { clock, random, store, membership, failureDomain, decisions } = options;
  const guards = new Map<PoolId, MoveGuardRunner>();
  const controllers = new Map<PoolId, MoveControllerRunner>();
  let lease: LeaseState = { kind: 'notHeld' };
  const records = new Map<PoolId, StoredMove>();
  /** The latest veto against each pool's moves, for guards that are created later. */
  const vetoes = new Map<PoolId, VetoReceived>();

  const context: MovesContext = {
    clock,
    failureDomain,
    announce(pool, message) {
      for (const entryHost of listParticipants(membership, options.getFailureDomains(pool), pool)) {
        if (entryHost === options.entryHost) {
          receive(pool, message);
        } else {
          options.sendToPeer(entryHost, pool, message);
        }
      }
    },
    carryOutRecord(effect, answer) {
      void callRecordStore(store, effect).then(answer);
    },
    logDecision: createMoveDecisionLogger(decisions, failureDomain),
  };

  function updateRecord(pool: PoolId, stored: StoredMove): void {
    if (stored.version > (records.get(pool)?.version ?? 0)) {
      records.set(pool, stored);
    }
  }

  function receive(pool: PoolId, message: MovePeerMessage): void {
    if (message.kind === 'recordSeen') {
      updateRecord(pool, message.stored);
    } else if (message.kind === 'vetoHeard') {
      vetoes.set(pool, message);
    }
    guards.get(pool)?.handle(message);
    controllers.get(pool)?.handle(message);
  }

  /** Applies a record and relays it to the host of the pool's scheduler, where the guard runs. */
  function relayRecord(pool: PoolId, stored: StoredMove): void {
    receive(pool, { kind: 'recordSeen', stored });
    const scheduler = membership.tryGetScheduler(pool, failureDomain)?.entryHost;
    if (scheduler !== undefined && scheduler !== options.entryHost) {
      options.sendToPeer(scheduler, pool, { kind: 'recordSeen', stored });
    }
  }

  function sendLatestRecord(pool: PoolId, handler: MoveMessageHandler<RecordSeen>): void {
    const stored = records.get(pool);
    if (stored !== undefined) {
      handler.handle({ kind: 'recordSeen', stored });
    }
  }

  /** Keeps one controller per pool while the lease is held, and none otherwise. */
  function updateControllers(): void {
    if (lease.kind !== 'held') {
      controllers.clear();
      return;
    }
    for (const pool of options.getPools()) {
      if (!controllers.has(pool)) {
        const controller = createMoveControllerRunner(context, options, pool);
        controllers.set(pool, controller);
        controller.handle({ kind: 'leaseChanged', lease });
        sendLatestRecord(pool, controller);
      }
    }
  }

  function updateLease(state: LeaseState): void {
    lease = state;
    controllers.forEach((controller) => controller.handle({ kind: 'leaseChanged', lease }));
    updateControllers();
  }

  const delegate = createMoveDelegate({
    store,
    clock,
    random,
    onRecord: relayRecord,
    onLease: updateLease,
  });

  function updateDelegate(): void {
    const { isDelegate } = membership.view();
    if (isDelegate && !delegate.isActive()) {
      delegate.start(membership.self().incarnation);
    } else if (!isDelegate && delegate.isActive()) {
      void delegate.stop();
    }
  }

  function initialiseGuard(pool: PoolId, guard: MoveGuardRunner): void {
    const veto = vetoes.get(pool);
    sendLatestRecord(pool, guard);
    if (veto !== undefined) {
      guard.handle(veto);
    }
  }

  function updateGuards(): void {
    for (const pool of options.getPools()) {
      const scheduler = options.tryGetTask(pool);
      if (scheduler === undefined) {
        guards.delete(pool);
      } else if (!guards.has(pool)) {
        const guard = createMoveGuardRunner(context, options, pool, scheduler);
        guards.set(pool, guard);
        initialiseGuard(pool, guard);
      }
    }
  }

  function getServerSummaries(pool: PoolId): readonly BackendServerSummary[] {
    return options.tryGetTask(pool)?.getSummary().backendServers ?? [];
  }

  function handleTimePassed(): void {
    const reachableDomains = membership
      .view()
      .domains.filter(({ age }) => age !== undefined && age <= MAXIMUM_REACHABLE_AGE_MS)
      .map((domain) => domain.failureDomain);
    guards.forEach((guard, pool) => {
      guard.handle({
        kind: 'capacityCounted',
        bearableShare: calculateBearableShare(getServerSummaries(pool), records.get(pool)),
      });
      guard.handle({
        kind: 'oldTrafficCounted',
        inFlight: countOldVersionRequests(getServerSummaries(pool), records.get(pool)),
      });
      guard.handle({ kind: 'timePassed' });
    });
    controllers.forEach((controller, pool) => {
      const poolDomains = options.getFailureDomains(pool);
      const failureDomains = poolDomains.filter(
        (domain) => domain === failureDomain || reachableDomains.includes(domain),
      );
      controller.handle({ kind: 'reachableChanged', failureDomains });
      controller.handle({ kind: 'timePassed' });
    });
  }

  return {
    update() {
      updateDelegate();
      updateGuards();
      updateControllers();
      handleTimePassed();
    },
    receive,
    receiveEvidence: (pool, evidence) => guards.get(pool)?.handle(evidence),
    tryGetShares: (pool) => guards.get(pool)?.shares(),
    tryGetRecord: (pool) => records.get(pool),
    getRecords: () => [...records.values()],
    cancel: (pool, { record }, operator) =>
      context.announce(pool, { kind: 'cancelRequested', move: getMoveIdentity(record), operator }),
    close: delegate.stop,
  };
}
