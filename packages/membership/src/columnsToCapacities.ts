import type { PoolCapacity, PoolCapacityColumns } from './types';

/**
 * Converts received columns into pool capacities. A value missing from a column is read as no
 * capacity.
 */
export default function columnsToCapacities(columns: PoolCapacityColumns): readonly PoolCapacity[] {
  return columns.pools.map((pool, index) => ({
    pool,
    spareTokens: columns.spareTokens[index] ?? 0,
    queuedTokens: columns.queuedTokens[index] ?? 0,
    drained: columns.drained[index] ?? true,
  }));
}
