import type { RelayCustomer, ShareKey } from '../types';

const DEFAULT_WEIGHT = 1;

/** Returns the function from a share key to its customer's weight. */
export default function createShareWeights(
  customers: readonly RelayCustomer[] | undefined,
): (key: ShareKey) => number {
  const weights = new Map((customers ?? []).map(({ name, weight }) => [name, weight]));
  return (key) => weights.get(key.slice(key.indexOf(' ') + 1)) ?? DEFAULT_WEIGHT;
}
