import type { PoolRoom, PoolRoomColumns } from './types';

/** Turns received columns into rooms; a value that a column lacks reads as no room. */
export default function columnsToRooms(columns: PoolRoomColumns): readonly PoolRoom[] {
  return columns.pools.map((pool, index) => ({
    pool,
    spareTokens: columns.spareTokens[index] ?? 0,
    queuedTokens: columns.queuedTokens[index] ?? 0,
    drained: columns.drained[index] ?? true,
  }));
}
