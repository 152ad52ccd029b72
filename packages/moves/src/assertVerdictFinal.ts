import { Debug } from '@rattanreel/core';
import isSameMove from './isSameMove';
import type { MoveRecord } from './types';

/** Asserts that no newer state of one move's record changes a final verdict. */
export default function assertVerdictFinal(before: MoveRecord, next: MoveRecord): void {
  Debug.invariant(
    !isSameMove(before, next) || before.verdict === 'underWay' || before.verdict === next.verdict,
    'move-verdict-final',
    () => `${next.pool}: ${before.verdict} became ${next.verdict}`,
  );
}
