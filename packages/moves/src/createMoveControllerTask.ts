import type { Clock, FailureDomainId, Milliseconds, PoolId, Timer } from '@rattanreel/core';
import type { Lease, ObjectStore, StoredObject, WatchEvent } from '@rattanreel/platform';
import { match } from 'ts-pattern';
import callRecordStore from './callRecordStore';
import createMoveController from './createMoveController';
import type {
  CancelRequested,
  MoveController,
  MoveControllerEffect,
  MoveControllerMessage,
  MoveDecisionLogged,
  MoveRecord,
  ReachableDomainsChanged,
  ReportReceived,
  StoredMove,
  VetoReceived,
} from './types';

const TICK_MILLISECONDS: Milliseconds = 1_000;
const MOVE_RECORD_KIND = 'move';

interface MoveControllerTaskOptions {
  readonly store: ObjectStore;
  /** The moves lease; the controllers act only while it is held. */
  readonly lease: Lease;
  readonly clock: Clock;
  readonly failureDomains: readonly FailureDomainId[];
  /** Sends a changed record to all failure domains, in addition to the watch. */
  readonly announceRecord: (stored: StoredMove) => void;
  readonly logDecision: (decision: MoveDecisionLogged) => void;
}

/** Messages that the task receives from other tasks. */
type TaskMessage = VetoReceived | ReportReceived | CancelRequested | ReachableDomainsChanged;

/** Drives the moves of all pools while the moves lease is held. */
interface MoveControllerTask {
  deliver(message: TaskMessage): void;
  close(): void;
}

/** Creates the task that owns the watch of move records, one controller for each pool, and the store calls. */
export default function createMoveControllerTask(
  options: MoveControllerTaskOptions,
): MoveControllerTask {
  const { store, lease, clock, failureDomains } = options;
  const controllers = new Map<PoolId, MoveController>();
  let reachable: readonly FailureDomainId[] = failureDomains;
  let isClosed = false;

  function getController(pool: PoolId): MoveController {
    let controller = controllers.get(pool);
    if (controller === undefined) {
      controller = createMoveController({ pool, failureDomains });
      controllers.set(pool, controller);
      handle(pool, { kind: 'reachableChanged', failureDomains: reachable });
    }
    return controller;
  }

  function executeEffect(pool: PoolId, effect: MoveControllerEffect): void {
    match(effect)
      .with({ kind: 'logMoveDecision' }, options.logDecision)
      .with({ kind: 'announceRecord' }, ({ stored }) => options.announceRecord(stored))
      .with({ kind: 'writeRecord' }, { kind: 'readRecord' }, (call) => {
        callRecordStore(store, call).then(
          (answer) => handle(pool, { kind: 'recordAnswered', answer }),
          () => handle(pool, { kind: 'recordAnswered', answer: { kind: 'outcomeUnknown' } }),
        );
      })
      .exhaustive();
  }

  function handle(pool: PoolId, message: MoveControllerMessage): void {
    if (isClosed) {
      return;
    }
    const controller = getController(pool);
    // The lease is checked before each message, so that a process that was paused notices its expiry first.
    controller.handle({ kind: 'leaseChanged', lease: lease.state() }, 0);
    const effects = controller.handle(message, clock.wallTime().getTime());
    effects.forEach((effect) => executeEffect(pool, effect));
  }

  function handleRecord({ name, value, version }: StoredObject<MoveRecord>): void {
    handle(name, { kind: 'recordSeen', stored: { record: value, version } });
  }

  function handleWatchEvent(event: WatchEvent<MoveRecord>): void {
    match(event)
      .with({ kind: 'changed' }, ({ object }) => handleRecord(object))
      .with({ kind: 'listed' }, ({ list }) => list.items.forEach(handleRecord))
      .with({ kind: 'removed' }, ({ name }) => controllers.delete(name))
      .with({ kind: 'lost' }, () => undefined)
      .exhaustive();
  }

  function tick(): void {
    controllers.forEach((_, pool) => handle(pool, { kind: 'timePassed' }));
    timer = clock.after(TICK_MILLISECONDS, tick);
  }

  const watch = store.watch<MoveRecord>(MOVE_RECORD_KIND, handleWatchEvent);
  let timer: Timer = clock.after(TICK_MILLISECONDS, tick);

  return {
    deliver(message) {
      if (message.kind === 'reachableChanged') {
        reachable = message.failureDomains;
        controllers.forEach((_, pool) => handle(pool, message));
        return;
      }
      const move = match(message)
        .with({ kind: 'vetoHeard' }, ({ veto }) => veto.move)
        .with({ kind: 'reportHeard' }, ({ report }) => report.move)
        .with({ kind: 'cancelRequested' }, (request) => request.move)
        .exhaustive();
      handle(move.pool, message);
    },
    close() {
      isClosed = true;
      watch.close();
      timer.cancel();
    },
  };
}
