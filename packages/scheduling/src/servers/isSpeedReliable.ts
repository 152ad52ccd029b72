import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from './types';

const STALE_SAMPLE_MILLISECONDS: Milliseconds = 3_000;

/**
 * Whether the estimated speed of a backend server is reliable enough to reject requests there. An
 * idle backend server without a recent sample is tried again, since it may have recovered.
 */
export default function isSpeedReliable(server: BackendServer, now: Milliseconds): boolean {
  const isStale = now - server.speed.lastSampleAt > STALE_SAMPLE_MILLISECONDS;
  return server.speed.hasEnoughSamples && !(isStale && server.inFlight.size === 0);
}
