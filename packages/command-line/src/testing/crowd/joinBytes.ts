import type { Repeated } from './types';

const BLOCK_BYTES = 65_536;

/** Returns the bytes in blocks, of which short repeated texts share one. */
export default function* joinBytes(parts: readonly Repeated[]): Generator<Buffer> {
  for (const { text, count } of parts) {
    const perBlock = Math.max(Math.floor(BLOCK_BYTES / Math.max(text.length, 1)), 1);
    const block = Buffer.from(text.repeat(Math.min(perBlock, count)), 'latin1');
    for (let left = count; left > 0; left -= perBlock) {
      yield left >= perBlock ? block : block.subarray(0, left * text.length);
    }
  }
}
