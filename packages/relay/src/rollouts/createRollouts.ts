import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type {
  ClusterStateSource,
  FleetRole,
  ListedServer,
  RelayBounds,
  RelayContext,
  Rollout,
} from '../types';
import createRolloutTrial from './createRolloutTrial';
import type { RolloutTrial, Rollouts } from './types';

/** Hosts write the end of a roll-out within this time; the first write is the only one. */
const WRITE_SPREAD: Milliseconds = 800;
/** Time after which a write that did not reach the store is repeated. */
const WRITE_RETRY_INTERVAL: Milliseconds = 1_000;

interface RolloutsOptions extends RelayContext {
  readonly ownName: EntryHostId;
  readonly bounds: RelayBounds;
  readonly getRole: () => FleetRole;
  /** Writes the state of a roll-out to the store. */
  readonly record: ClusterStateSource['recordRollout'];
  /** Called when this host finds that a version is bad. */
  readonly onFound: () => void;
}

interface RolloutEntry {
  rollout: Rollout;
  readonly trial: RolloutTrial;
  isReported: boolean;
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

  function isTarget({ rollout }: RolloutEntry, { version }: ListedServer): boolean {
    return rollout.version === version;
  }

  /** Writes that a roll-out was rolled back, until the store says so; a few hosts do. */
  function recordRollback(entry: RolloutEntry): void {
    const { rollout } = entry;
    if (entries.get(getKey(rollout)) === entry && rollout.state !== 'rolledBack') {
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
      logger.warn({ ...entry.rollout, ...entry.trial.getFindings() }, 'version is bad');
      options.onFound();
      clock.after(random.next() * WRITE_SPREAD, () => recordRollback(entry));
    }
  }

  function createEntry(rollout: Rollout): RolloutEntry {
    logger.info({ ...rollout }, 'roll-out begins');
    const { ownHosts, fleetHosts } = options.getRole();
    const trial = createRolloutTrial({ ownName, bounds, ownShare: ownHosts / fleetHosts });
    return { rollout, trial, isReported: false };
  }

  return {
    setRollouts(rollouts) {
      entries = new Map(
        rollouts
          .filter(({ state }) => state !== 'complete')
          .map((rollout) => {
            const key = getKey(rollout);
            const entry = entries.get(key) ?? createEntry(rollout);
            entry.rollout = rollout;
            if (rollout.state === 'rolledBack') {
              entry.isReported = true;
              entry.trial.markBad();
            }
            return [key, entry];
          }),
      );
    },
    getUse(server) {
      const entry = tryGetEntry(server);
      if (entry === undefined || !isTarget(entry, server)) {
        return 'free';
      }
      return entry.trial.isBad() ? 'none' : 'trial';
    },
    mayTry(server) {
      const entry = tryGetEntry(server);
      return entry === undefined || !isTarget(entry, server) || entry.trial.mayTry();
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
          entry.trial.merge(findings);
          reportIfBad(entry);
        }
      });
    },
    tryGetReport: () =>
      entries.size === 0
        ? undefined
        : Object.fromEntries([...entries].map(([key, { trial }]) => [key, trial.getFindings()])),
  };
}
