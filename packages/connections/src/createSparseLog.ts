import type { Clock, Milliseconds } from '@rattanreel/core';

interface SparseLogOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Shortest time between two lines. */
  readonly interval: Milliseconds;
}

/** Creates a function that writes the first line and then at most one per interval. */
export default function createSparseLog({ clock, interval }: SparseLogOptions) {
  let writtenAt = -Infinity;
  let left = 0;

  /** Calls `write` with the number of lines left out since the last one, if a line is due. */
  return (write: (left: number) => void): void => {
    if (clock.now() - writtenAt < interval) {
      left += 1;
      return;
    }
    writtenAt = clock.now();
    write(left);
    left = 0;
  };
}
