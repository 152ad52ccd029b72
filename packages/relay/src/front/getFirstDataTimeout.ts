import type { Milliseconds } from '@rattanreel/core';
import type { Route } from '../types';

/**
 * Multiple of the route's objective after which an attempt without any data is aborted, if the
 * request may be retried.
 */
const FIRST_DATA_TIMEOUT_OBJECTIVES = 3;
const MINIMUM_FIRST_DATA_TIMEOUT: Milliseconds = 1_000;

/** Returns the time after which an attempt without any data is aborted. */
export default function getFirstDataTimeout({ objective }: Route): Milliseconds {
  return Math.max(objective * FIRST_DATA_TIMEOUT_OBJECTIVES, MINIMUM_FIRST_DATA_TIMEOUT);
}
