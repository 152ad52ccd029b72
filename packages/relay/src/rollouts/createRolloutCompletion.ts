import type { Milliseconds } from '@rattanreel/core';
import type { ClusterStateSource, FleetRole, RelayContext } from '../types';
import isTimeToComplete from './isTimeToComplete';
import type { FleetLoad, RolloutEntry } from './types';

interface RolloutCompletionOptions extends RelayContext {
  readonly record: ClusterStateSource['recordRollout'];
  readonly getRole: () => FleetRole;
  readonly getFleetLoad: (role: FleetRole, now: Milliseconds) => FleetLoad;
  readonly isInForce: (entry: RolloutEntry) => boolean;
  /** Time after which a write that did not reach the store is repeated. */
  readonly writeRetryInterval: Milliseconds;
  /** Time over which hosts spread their writes, so that most see the first one before their own. */
  readonly writeSpread: Milliseconds;
}

/**
 * Creates the completion of roll-outs whose version is good: `complete` is written when no host
 * reports a request at the old servers, which then stop at once, or shortly before the deadline.
 */
export default function createRolloutCompletion(
  options: RolloutCompletionOptions,
): (entry: RolloutEntry) => void {
  const { clock, logger, random } = options;

  /** Writes that a roll-out is complete; the store accepts one write of each object version. */
  function write(entry: RolloutEntry): void {
    // A write whose effect is not seen is repeated: the store may have lost it.
    clock.after(options.writeRetryInterval, () => {
      entry.isWriting = false;
    });
    if (options.isInForce(entry) && !entry.trial.isBad() && options.getRole().isGranting) {
      options
        .record(entry.rollout, 'complete')
        .catch((error: unknown) => logger.error({ error: String(error) }, 'roll-out not written'));
    }
  }

  return (entry) => {
    const now = clock.now();
    const { pool, version, duration } = entry.rollout;
    const { servers, inFlight, isWhole } = options.getFleetLoad(options.getRole(), now);
    const isIdle = servers
      .filter((server) => server.pool === pool && server.version !== version)
      .every(({ id }) => (inFlight.get(id) ?? 0) === 0);
    entry.drainedSince = isWhole && isIdle ? (entry.drainedSince ?? now) : undefined;
    const drainedFor = entry.drainedSince === undefined ? undefined : now - entry.drainedSince;
    const elapsed = now - entry.orderedAt;
    if (!entry.isWriting && isTimeToComplete({ drainedFor, elapsed, duration })) {
      entry.isWriting = true;
      logger.info({ ...entry.rollout, drainedFor, elapsed }, 'roll-out is being completed');
      clock.after(random.next() * options.writeSpread, () => write(entry));
    }
  };
}
