import type { ShareKey } from '../types';
import type { Sharer } from './types';

/**
 * Returns the key under which a request's slot is counted: capacity is shared within each route
 * tier. Requests without a customer count as those of one.
 */
export default function getShareKey({ customer = '', priority }: Sharer): ShareKey {
  return `${priority.tier} ${customer}`;
}
