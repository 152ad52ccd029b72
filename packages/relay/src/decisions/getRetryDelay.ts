import type { Milliseconds, Random } from '@rattanreel/core';
import MINIMUM_RETRY_FRACTION from './minimumRetryFraction';

const MINIMUM_RETRY_DELAY: Milliseconds = 100;

/**
 * Returns the delay after which a request refused now may return: a part of the time that its
 * caller still waits, random so that refused callers do not return together.
 */
export default function getRetryDelay(remainingTime: Milliseconds, random: Random): Milliseconds {
  const delay = Math.max(remainingTime * MINIMUM_RETRY_FRACTION, MINIMUM_RETRY_DELAY);
  return delay * (1 + random.next());
}
