import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type {
  ClusterStateSource,
  FleetRole,
  ListedServer,
  RelayBounds,
  RelayContext,
  Rollout,
} from '../types';
import createRolloutDecisions from './createRolloutDecisions';
import createRolloutTrial from './createRolloutTrial';
import type { FleetLoad, RolloutEntry, Rollouts } from './types';

/** Hosts write the end of a roll-out within this time; the first write is the only one. */
const WRITE_SPREAD: Milliseconds = 800;
/** Time after which a write that did not reach the store is repeated. */
const WRITE_RETRY_INTERVAL: Milliseconds = 1_000;
/**
 * Time after completion in which the stopped servers may still be listed. Later, servers of another
 * version are new ones.
 */
const STOPPED_TIME: Milliseconds = 5_000;

interface RolloutsOptions extends RelayContext {
  readonly ownName: EntryHostId;
  readonly bounds: RelayBounds;
  readonly getRole: () => FleetRole;
  /** Writes the state of a roll-out to the store. */
  readonly record: ClusterStateSource['recordRollout'];
  readonly getFleetLoad: (role: FleetRole, now: Milliseconds) => FleetLoad;
  /** Called when this host finds that a version is good or bad. */
  readonly onFound: () => void;
}

function isTarget({ rollout }: RolloutEntry, { version }: ListedServer): boolean {
  return rollout.version === version;
}

/** Whether a roll-out is complete for so long that no stopped server is listed any more. */
function isOver({ completedAt }: RolloutEntry, now: Milliseconds): boolean {
  return completedAt !== undefined && now - completedAt >= STOPPED_TIME;
}

/** Identifies a roll-out: an operator's new order for the same version is another one. */
function getKey({ pool, version, orderedAt }: Rollout): string {
  return `${pool} ${version} ${orderedAt}`;
}

/**
 * Holds the roll-outs in force. A version that is rolled out is on trial until its roll-out is
 * complete; one that proves bad gets no further requests, whether or not the store is in reach.
 */
export default function createRollouts(options: RolloutsOptions): Rollouts {
  const { clock, logger, random, ownName, bounds } = options;
  let entries = new Map<string, RolloutEntry>();

  function tryGetEntry({ pool }: ListedServer): RolloutEntry | undefined {
    return entries.size === 0
      ? undefined
      : [...entries.values()].find(({ rollout }) => rollout.pool === pool);
  }

  function isInForce(entry: RolloutEntry): boolean {
    return entries.get(getKey(entry.rollout)) === entry && entry.rollout.state !== 'complete';
  }

  /** Writes that a roll-out was rolled back, until the store says so; a few hosts do. */
  function recordRollback(entry: RolloutEntry): void {
    const { rollout } = entry;
    if (isInForce(entry) && rollout.state !== 'rolledBack') {
      if (options.getRole().isGranting) {
        options
          .record(rollout, 'rolledBack')
          .catch((error: unknown) =>
            logger.error({ error: String(error) }, 'roll-out not written'),
          );
      }
      clock.after(WRITE_RETRY_INTERVAL, () => recordRollback(entry));
    }
  }

  function reportIfBad(entry: RolloutEntry): void {
    if (entry.trial.isBad() && !entry.isReported) {
      entry.isReported = true;
      // Requests return to the old servers if they were moved away.
      entry.progress = { kind: 'rejected', reason: 'bad' };
      logger.warn({ ...entry.rollout, ...entry.trial.getFindings() }, 'version is bad');
      options.onFound();
      clock.after(random.next() * WRITE_SPREAD, () => recordRollback(entry));
    }
  }

  const decisions = createRolloutDecisions({
    ...options,
    writeRetryInterval: WRITE_RETRY_INTERVAL,
    isInForce,
    onRejected: reportIfBad,
  });

  function createEntry(rollout: Rollout): RolloutEntry {
    logger.info({ ...rollout }, 'roll-out begins');
    const { ownHosts, fleetHosts } = options.getRole();
    return {
      rollout,
      trial: createRolloutTrial({ ownName, bounds, ownShare: ownHosts / fleetHosts }),
      isReported: false,
      orderedAt: clock.now(),
      progress: { kind: 'trial' },
      drainedSince: undefined,
      completedAt: undefined,
      isWriting: false,
    };
  }

  function update(entry: RolloutEntry, rollout: Rollout): void {
    const before = entry.rollout.state;
    entry.rollout = rollout;
    if (rollout.state === 'rolledBack') {
      entry.isReported = true;
      entry.trial.markBad();
      entry.progress = { kind: 'rejected', reason: 'bad' };
    } else if (rollout.state === 'complete') {
      entry.completedAt ??= clock.now();
      entry.progress = { kind: 'moving' };
    } else if (before === 'complete') {
      // The store returned from a copy that is older than the completion, which is written again.
      entry.isWriting = false;
      decisions.start(entry);
    }
  }

  return {
    setRollouts(rollouts) {
      entries = new Map(
        rollouts
          .filter((rollout) => rollout.state !== 'complete' || entries.has(getKey(rollout)))
          .map((rollout) => {
            const key = getKey(rollout);
            const known = entries.get(key);
            const entry = known ?? createEntry(rollout);
            update(entry, rollout);
            if (known === undefined) {
              decisions.start(entry);
            }
            return [key, entry];
          }),
      );
    },
    getUse(server) {
      const entry = tryGetEntry(server);
      if (entry === undefined) {
        return 'free';
      }
      if (entry.progress.kind === 'moving') {
        return isTarget(entry, server) || isOver(entry, clock.now()) ? 'free' : 'none';
      }
      if (!isTarget(entry, server)) {
        return 'free';
      }
      return entry.trial.isBad() ? 'none' : 'trial';
    },
    mayTry(server) {
      const entry = tryGetEntry(server);
      return (
        entry === undefined ||
        !isTarget(entry, server) ||
        entry.progress.kind === 'moving' ||
        entry.trial.mayTry()
      );
    },
    isPreferred(server) {
      const entry = tryGetEntry(server);
      return entry?.progress.kind === 'loadTest' && isTarget(entry, server) && entry.trial.mayTry();
    },
    recordGrant(server) {
      const entry = tryGetEntry(server);
      entry?.trial.recordGrant(isTarget(entry, server));
    },
    recordAttempt(server, tier, figures) {
      const entry = tryGetEntry(server);
      // A host that does not grant its slots itself would count again what its scheduler counts.
      if (entry !== undefined && options.getRole().isGranting) {
        entry.trial.recordAttempt(isTarget(entry, server), tier, figures);
        reportIfBad(entry);
      }
    },
    merge(report) {
      Object.entries(report).forEach(([key, findings]) => {
        const entry = entries.get(key);
        if (entry !== undefined) {
          const { age = 0, isGood = false } = findings;
          entry.orderedAt = Math.min(entry.orderedAt, clock.now() - age);
          entry.trial.merge(findings);
          if (isInForce(entry) && isGood && !entry.trial.isBad()) {
            decisions.apply(entry, { kind: 'moving' });
          }
          reportIfBad(entry);
        }
      });
    },
    tryGetReport() {
      const running = [...entries].filter(([, { rollout }]) => rollout.state !== 'complete');
      const describe = ({ trial, progress, orderedAt }: RolloutEntry) => ({
        ...trial.getFindings(),
        age: clock.now() - orderedAt,
        isGood: progress.kind === 'moving',
      });
      return running.length === 0
        ? undefined
        : Object.fromEntries(running.map(([key, entry]) => [key, describe(entry)]));
    },
  };
}
