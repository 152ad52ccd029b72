import { createHash } from 'node:crypto';

/** Returns the SHA-256 of the parts in hexadecimal; the boundaries between parts are hashed too. */
export default function hashText(...parts: readonly string[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}
