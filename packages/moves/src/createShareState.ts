import { Debug } from '@rattanreel/core';
import type { FailureDomainId } from '@rattanreel/core';
import type { VersionShare } from '@rattanreel/scheduling';
import type { MoveRecord, SharesChanged } from './types';

/** The shares last given to a pool's scheduler, and whether the new version was found bad. */
interface ShareState {
  /** Share of the new version in force. */
  share(): number;
  shares(): readonly VersionShare[];
  hasRegressed(): boolean;
  /** The new version was found bad: its share must stay at nothing from the next `give` on. */
  markRegressed(): void;
  /** Gives the scheduler the shares when they differ from the last. */
  applyShares(shares: readonly VersionShare[]): readonly SharesChanged[];
}

/** Keeps the shares of one move in one failure domain. */
export default function createShareState(
  { pool, from, to }: MoveRecord,
  failureDomain: FailureDomainId,
): ShareState {
  let share: number | undefined;
  let hasRegressed = false;

  return {
    share: () => share ?? 0,
    shares: () => [
      { version: from, share: 1 - (share ?? 0) },
      { version: to, share: share ?? 0 },
    ],
    hasRegressed: () => hasRegressed,
    markRegressed() {
      hasRegressed = true;
    },
    applyShares(shares) {
      const next = shares.find(({ version }) => version === to)?.share ?? 0;
      if (next === share) {
        return [];
      }
      Debug.invariant(
        !hasRegressed || next === 0,
        'move-share-after-badness',
        () => `${failureDomain} gives ${to} a share of ${next} after it was found bad`,
      );
      share = next;
      return [{ kind: 'sharesChanged', pool, shares }];
    },
  };
}
