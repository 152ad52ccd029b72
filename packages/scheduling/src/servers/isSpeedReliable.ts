import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from './types';

const STALE_SAMPLE_MILLISECONDS: Milliseconds = 3_000;

/**
 * Whether a backend server's learnt speed is good enough to keep a request away from it. One that stands idle
 * and has not been measured for a while is tried again, since it may have recovered.
 */
export default function isSpeedReliable(server: BackendServer, now: Milliseconds): boolean {
  const isStale = now - server.speed.lastSampleAt > STALE_SAMPLE_MILLISECONDS;
  return server.speed.hasEnoughSamples && !(isStale && server.inFlight.size === 0);
}
