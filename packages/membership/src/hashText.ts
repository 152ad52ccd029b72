import { createHash } from 'node:crypto';

const HASH_BYTES = 6;

/** Returns a 48-bit hash that is the same on every host. */
export default function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUIntBE(0, HASH_BYTES);
}
