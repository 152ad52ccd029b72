import type { ShareKey } from '../types';

/** A deployment has 16 customers; of more, the largest are named and the rest is a sum. */
const MAXIMUM_LISTED = 16;

/** Selects the largest counts, so that messages stay short, and sums the rest. */
export default function selectLargest(counts: ReadonlyMap<ShareKey, number>): {
  readonly largest: Readonly<Record<ShareKey, number>>;
  readonly others: number;
} {
  const sorted = [...counts].sort(([, left], [, right]) => right - left);
  const others = sorted.slice(MAXIMUM_LISTED).reduce((sum, [, count]) => sum + count, 0);
  return { largest: Object.fromEntries(sorted.slice(0, MAXIMUM_LISTED)), others };
}
