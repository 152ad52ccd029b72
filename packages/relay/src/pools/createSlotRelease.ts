import type { Clock, Milliseconds, TierRank } from '@rattanreel/core';
import type { ServerState, AttemptFigures } from '../types';

/** Time for which a slot counts as taken if its server may still be at work. */
const UNSURE_SLOT_TIME: Milliseconds = 500;

interface SlotReleaseOptions {
  readonly clock: Clock;
  readonly tracker: { releaseSlot(server: ServerState, tier: TierRank): void };
  /** Called after a slot was released later than its attempt ended. */
  readonly onReleased: () => void;
}

/**
 * Returns whether a brittle server may still be at work on an attempt that did not end with its
 * response, or be full of others.
 */
function mayStillHoldSlot({ ownSlots }: ServerState, { end }: AttemptFigures): boolean {
  const isUnsent = end.kind === 'notConnected' || end.kind === 'notSent';
  return ownSlots !== undefined && end.kind !== 'whole' && !isUnsent;
}

/** Creates the function that releases the slot of an attempt which has ended. */
export default function createSlotRelease(
  options: SlotReleaseOptions,
): (server: ServerState, tier: TierRank, figures: AttemptFigures) => void {
  const { clock, tracker, onReleased } = options;

  return (server, tier, figures) => {
    if (!mayStillHoldSlot(server, figures)) {
      tracker.releaseSlot(server, tier);
      return;
    }
    clock.after(UNSURE_SLOT_TIME, () => {
      tracker.releaseSlot(server, tier);
      onReleased();
    });
  };
}
