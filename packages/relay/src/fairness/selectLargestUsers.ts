import type { CustomerUse, ShareKey } from '../types';

/** A deployment has 16 customers; more than these are reported as a sum. */
const MAXIMUM_LISTED = 16;

/** Returns the largest users by name and the sum of all others, so that messages stay short. */
export default function selectLargestUsers(use: ReadonlyMap<ShareKey, number>): CustomerUse {
  const sorted = [...use].sort(([, left], [, right]) => right - left);
  const others = sorted.slice(MAXIMUM_LISTED).reduce((sum, [, count]) => sum + count, 0);
  return { largest: Object.fromEntries(sorted.slice(0, MAXIMUM_LISTED)), others };
}
