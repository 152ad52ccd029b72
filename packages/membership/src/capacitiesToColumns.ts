import type { PoolCapacity, PoolCapacityColumns } from './types';

/** Converts pool capacities into columns for sending. */
export default function capacitiesToColumns(
  capacities: readonly PoolCapacity[],
): PoolCapacityColumns {
  return {
    pools: capacities.map(({ pool }) => pool),
    spareTokens: capacities.map(({ spareTokens }) => spareTokens),
    queuedTokens: capacities.map(({ queuedTokens }) => queuedTokens),
    drained: capacities.map(({ drained }) => drained),
  };
}
