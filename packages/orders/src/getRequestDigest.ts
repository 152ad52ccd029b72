import hashText from './hashText';
import type { OrderRequest } from './types';

/** Returns a digest that shows whether two orders under one key are the same request. */
export default function getRequestDigest({ method, path, body }: OrderRequest): string {
  return hashText(method, path, body);
}
