import { Debug } from '@rattanreel/core';
import type { FailureDomainId } from '@rattanreel/core';
import type { VersionShare } from '@rattanreel/scheduling';
import type { MoveRecord, SharesChanged } from './types';

/** Holds the shares last given to a pool's scheduler, and whether the new version has regressed. */
interface ShareState {
  /** Returns the share of the new version in force. */
  share(): number;
  shares(): readonly VersionShare[];
  hasRegressed(): boolean;
  /** Records a regression of the new version: from the next `applyShares` on, its share must be 0. */
  markRegressed(): void;
  /** Returns the shares for the scheduler if the new version's share differs from the last one. */
  applyShares(shares: readonly VersionShare[]): readonly SharesChanged[];
}

/** Creates the share state of one move in one failure domain. */
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
        () => `${failureDomain} gives ${to} a share of ${next} after a regression was detected`,
      );
      share = next;
      return [{ kind: 'sharesChanged', pool, shares }];
    },
  };
}
