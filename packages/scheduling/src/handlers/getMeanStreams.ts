import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer, OccupiedSlot } from '../servers/types';

/** Returns the mean number of streams at a backend server between a slot's first token and now. */
export default function getMeanStreams(
  server: BackendServer,
  slot: OccupiedSlot,
  now: Milliseconds,
): number {
  const since = slot.firstTokenAt ?? slot.grantedAt;
  const span = now - since;
  const area = server.streamTime - slot.streamTimeAtFirstToken;
  return span > 0 ? Math.max(1, area / span) : server.inFlight.size + 1;
}
