import type { MoveIdentity, MoveRecord } from './types';

/** Returns the identity of a record's move. */
export default function getMoveIdentity(record: MoveRecord): MoveIdentity {
  return { pool: record.pool, to: record.to, startedAt: record.startedAt };
}
