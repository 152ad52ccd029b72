import type { Milliseconds } from '@rattanreel/core';
import type { ClusterStateSource, FleetRole, ListedServer, RelayContext, Rollout } from '../types';
import createRolloutCompletion from './createRolloutCompletion';
import decideRollout from './decideRollout';
import sumAnswerCounts from './sumAnswerCounts';
import type { FleetLoad, RolloutEntry, RolloutFacts, RolloutProgress } from './types';

/** Interval at which a roll-out's progress is decided. */
const DECISION_INTERVAL: Milliseconds = 200;
/** Part of the old servers' slots that the target's must have to take over. */
const MINIMUM_SLOTS_PART = 0.9;

interface RolloutDecisionsOptions extends RelayContext {
  readonly record: ClusterStateSource['recordRollout'];
  readonly getRole: () => FleetRole;
  readonly getFleetLoad: (role: FleetRole, now: Milliseconds) => FleetLoad;
  readonly isInForce: (entry: RolloutEntry) => boolean;
  readonly writeRetryInterval: Milliseconds;
  /** Called when this host finds that a version is good. */
  readonly onFound: () => void;
  readonly onRejected: (entry: RolloutEntry) => void;
}

interface RolloutDecisions {
  /** Decides how a roll-out proceeds, from now on until it has ended. */
  start(entry: RolloutEntry): void;
  /** Applies a step that this host or another one has decided. */
  apply(entry: RolloutEntry, next: RolloutProgress): void;
}

/** Sums the slots of a pool's servers of a version, and those of its other servers. */
function sumSlots(servers: readonly ListedServer[], { pool, version }: Rollout) {
  const sums = { target: 0, others: 0 };
  servers.forEach((server) => {
    if (server.pool === pool) {
      sums[server.version === version ? 'target' : 'others'] += server.slots;
    }
  });
  return sums;
}

/** Decides and performs the steps of roll-outs at the hosts that grant slots. */
export default function createRolloutDecisions(options: RolloutDecisionsOptions): RolloutDecisions {
  const { clock, logger, isInForce } = options;
  const completeIfDrained = createRolloutCompletion({
    ...options,
    writeSpread: DECISION_INTERVAL,
    isInForce,
  });

  function getFacts({ rollout, trial, orderedAt }: RolloutEntry): RolloutFacts {
    const { servers } = options.getFleetLoad(options.getRole(), clock.now());
    const { target, others } = sumSlots(servers, rollout);
    return {
      isBad: trial.isBad(),
      counts: sumAnswerCounts(Object.values(trial.getFindings().countsByHost)),
      elapsed: clock.now() - orderedAt,
      duration: rollout.duration,
      hasEnoughSlots: target > 0 && target >= others * MINIMUM_SLOTS_PART,
    };
  }

  function apply(entry: RolloutEntry, next: RolloutProgress): void {
    if (entry.progress.kind === next.kind) {
      return;
    }
    entry.progress = next;
    const { counts, ...facts } = getFacts(entry);
    const fields = { ...entry.rollout, ...facts, counts: Object.fromEntries(counts) };
    const reason = next.kind === 'rejected' ? next.reason : undefined;
    logger.info({ ...fields, progress: next.kind, reason }, 'roll-out proceeds');
    switch (next.kind) {
      case 'loadTest':
        entry.trial.allowLoadTest();
        return;
      case 'moving':
        options.onFound();
        return;
      case 'rejected':
        entry.trial.markBad();
        options.onRejected(entry);
        return;
      case 'trial':
        return;
      default:
        next satisfies never;
    }
  }

  function decide(entry: RolloutEntry): void {
    if (!isInForce(entry) || entry.rollout.state === 'rolledBack') {
      return;
    }
    if (options.getRole().isGranting) {
      apply(entry, decideRollout(entry.progress, getFacts(entry)));
      if (entry.progress.kind === 'moving') {
        completeIfDrained(entry);
      }
    }
    clock.after(DECISION_INTERVAL, () => decide(entry));
  }

  return {
    start: (entry) => {
      clock.after(DECISION_INTERVAL, () => decide(entry));
    },
    apply,
  };
}
