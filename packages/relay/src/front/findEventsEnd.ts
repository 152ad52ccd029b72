const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Returns the index in `chunk` after the blank line of its last complete event; 0 if no event ends
 * in it. `tail` holds the last two bytes before the chunk, or fewer at the start of a stream. Lines end
 * in LF, CR LF or CR (HTML standard, section 9.2.6).
 */
export default function findEventsEnd(tail: Buffer, chunk: Buffer): number {
  const getByte = (index: number): number | undefined =>
    index < 0 ? tail[tail.length + index] : chunk[index];

  for (let index = chunk.length - 1; index >= 0; index -= 1) {
    const previous = getByte(index - 1);
    if (chunk[index] === LINE_FEED) {
      const lastOfLine = previous === CARRIAGE_RETURN ? getByte(index - 2) : previous;
      if (lastOfLine === LINE_FEED) {
        return index + 1;
      }
    } else if (chunk[index] === CARRIAGE_RETURN && previous === CARRIAGE_RETURN) {
      return index + 1;
    }
  }
  return 0;
}
