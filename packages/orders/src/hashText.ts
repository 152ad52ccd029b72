import { createHash } from 'node:crypto';

/** SHA-256 of the parts, in hexadecimal; parts cannot run into each other. */
export default function hashText(...parts: readonly string[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}
