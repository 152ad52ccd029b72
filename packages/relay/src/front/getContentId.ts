import { createHash } from 'node:crypto';
import type { ContentId, RelayCustomer } from '../types';
import type { CallerExchange } from './types';

/** Enough that two contents do not share an identifier by chance. */
const DIGEST_BYTES = 12;

/**
 * Returns the identifier of what a backend server is asked to do: equal for two requests with the
 * same method, target, customer and body, whatever their other headers.
 */
export default function getContentId(
  { method, target, body }: Pick<CallerExchange, 'method' | 'target' | 'body'>,
  customer: RelayCustomer | undefined,
): ContentId {
  const digest = createHash('sha256')
    .update(JSON.stringify([method, target, customer?.name ?? null]))
    .update(body)
    .digest();
  return `content:${digest.subarray(0, DIGEST_BYTES).toString('base64url')}`;
}
