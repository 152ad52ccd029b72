import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { RejectionReason } from '../types';

const PREFILL_WINDOW_MILLISECONDS = 400;

/** Why a backend server has no room for one more stream of any size; undefined when it has. */
export default function tryGetRoomReason(
  server: BackendServer,
  now: Milliseconds,
): RejectionReason | undefined {
  const streams = server.inFlight.size + server.unknownStreams;
  if (server.standing === 'probing' && streams > 0) {
    return 'ejected';
  }
  if (streams >= server.limit.current) {
    return server.limit.isSlowStart ? 'slowStart' : 'limit';
  }
  const isBusy = server.speed.prefillTime(server.prefillTokens) > PREFILL_WINDOW_MILLISECONDS;
  return isBusy || server.lateAt < now ? 'limit' : undefined;
}
