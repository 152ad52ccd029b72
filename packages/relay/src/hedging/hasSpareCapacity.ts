import type { PoolState } from '../pools/types';

/**
 * Share of a pool's slots in use from which on no hedge is granted. A hedge beyond it would take the
 * slot of a request that arrives within the time that requests take.
 */
const SATURATION = 0.8;

/** Returns whether a pool has capacity for work that it could also do without. */
export default function hasSpareCapacity(
  { places, taken, waiting }: Pick<PoolState, 'places' | 'taken' | 'waiting'>,
  saturation = SATURATION,
): boolean {
  return waiting === 0 && taken + 1 <= places * saturation;
}
