interface GrowingBuffer {
  readonly length: number;
  /** Returns the size of the buffer once `bytes` more are appended. */
  getSizeWith(bytes: number, expected?: number): number;
  /** Appends bytes; `expected` is the number of all bytes, if it is known. */
  append(bytes: Buffer, expected?: number): void;
  /** Returns all bytes and begins anew. */
  take(): Buffer;
}

const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes in one buffer, whose size is at most twice their number. A list of the pieces would
 * hold some hundred bytes for each one, also for a piece of one byte.
 */
export default function createGrowingBuffer(): GrowingBuffer {
  let buffer: Buffer = EMPTY;
  let length = 0;

  function getSizeWith(bytes: number, expected = 0): number {
    const needed = length + bytes;
    return needed > buffer.length ? Math.max(needed, expected, buffer.length * 2) : buffer.length;
  }

  return {
    get length() {
      return length;
    },
    getSizeWith,
    append(bytes, expected = 0) {
      const needed = length + bytes.length;
      if (needed > buffer.length) {
        const larger = Buffer.allocUnsafe(getSizeWith(bytes.length, expected));
        buffer.copy(larger, 0, 0, length);
        buffer = larger;
      }
      bytes.copy(buffer, length);
      length = needed;
    },
    take() {
      const bytes = buffer.subarray(0, length);
      buffer = EMPTY;
      length = 0;
      return bytes;
    },
  };
}
