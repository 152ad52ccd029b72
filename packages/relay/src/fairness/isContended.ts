import type { Sharer } from './types';

/** Returns whether requests of more than one customer wait for slots. */
export default function isContended(requests: readonly Sharer[]): boolean {
  const first = requests[0]?.customer;
  return requests.some(({ customer }) => customer !== first);
}
