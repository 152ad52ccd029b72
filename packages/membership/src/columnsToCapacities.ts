import type { PoolCapacity, PoolCapacityColumns } from './types';

/** Turns received columns into rooms; a value that a column lacks reads as no room. */
export default function columnsToCapacities(columns: PoolCapacityColumns): readonly PoolCapacity[] {
  return columns.pools.map((pool, index) => ({
    pool,
    spareTokens: columns.spareTokens[index] ?? 0,
    queuedTokens: columns.queuedTokens[index] ?? 0,
    drained: columns.drained[index] ?? true,
  }));
}
