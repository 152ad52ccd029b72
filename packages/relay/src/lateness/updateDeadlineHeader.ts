import type { Milliseconds } from '@rattanreel/core';

/** Returns headers (alternating names and values) with the time left in the named header. */
export default function updateDeadlineHeader(
  headers: readonly string[],
  header: string,
  timeLeft: Milliseconds,
): string[] {
  const value = String(Math.max(Math.floor(timeLeft), 1));
  return headers.map((text, index) =>
    index % 2 === 1 && headers[index - 1] === header ? value : text,
  );
}
