import { Debug } from '@rattanreel/core';
import isSameMove from './isSameMove';
import type { MoveRecord } from './types';

/** Asserts that a newer record of the same move does not change a final verdict. */
export default function assertVerdictFinal(before: MoveRecord, next: MoveRecord): void {
  Debug.invariant(
    !isSameMove(before, next) || before.verdict === 'underWay' || before.verdict === next.verdict,
    'move-verdict-final',
    () => `${next.pool}: final verdict ${before.verdict} changed to ${next.verdict}`,
  );
}
