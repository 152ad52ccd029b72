import type { MoveIdentity } from './types';

/** Whether both identify the same move of the same pool. */
export default function isSameMove(left: MoveIdentity, right: MoveIdentity): boolean {
  return left.pool === right.pool && left.to === right.to && left.startedAt === right.startedAt;
}
