import type { MoveIdentity, MoveRecord } from './types';

/** What names the move of a record. */
export default function getMoveIdentity(record: MoveRecord): MoveIdentity {
  return { pool: record.pool, to: record.to, startedAt: record.startedAt };
}
