/** Bytes of `: ` and the end of a line. */
const FIELD_FRAME_BYTES = 4;

/** Returns the size of header fields as they are sent. */
export default function getHeadBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length,
    (rawHeaders.length / 2) * FIELD_FRAME_BYTES,
  );
}
