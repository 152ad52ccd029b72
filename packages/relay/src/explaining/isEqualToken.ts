import { createHash, timingSafeEqual } from 'node:crypto';

function digest(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

/** Compares two tokens in constant time; digests make their lengths equal. */
export default function isEqualToken(left: string, right: string): boolean {
  return timingSafeEqual(digest(left), digest(right));
}
