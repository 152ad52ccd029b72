import type { Milliseconds, Random } from '@rattanreel/core';

const FIRST_DELAY: Milliseconds = 20;
/** Bounds the time for which a freed port stays unused. */
const MAXIMUM_DELAY: Milliseconds = 250;

/** Returns the delay after a failed attempt to listen, counted from 1: exponential, with jitter. */
export default function getListenDelay(
  attempt: number,
  random: Pick<Random, 'next'>,
): Milliseconds {
  return (Math.min(FIRST_DELAY * 2 ** (attempt - 1), MAXIMUM_DELAY) * (1 + random.next())) / 2;
}
