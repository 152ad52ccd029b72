import type { Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

/** Returns whether a request may be sent to a server by the limit that it names, if it names one. */
export default function isDue({ pacing }: ServerState, now: Milliseconds): boolean {
  return pacing === undefined || pacing.nextAt <= now;
}
