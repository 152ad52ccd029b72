import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { RejectionReason } from '../types';

const MAXIMUM_PREFILL_BACKLOG_MILLISECONDS = 400;

/** Why a backend server has no room for one more stream of any size; undefined when it has. */
export default function tryGetCapacityRejection(
  server: BackendServer,
  now: Milliseconds,
): RejectionReason | undefined {
  const streams = server.inFlight.size + server.unaccountedStreams;
  if (server.standing === 'probing' && streams > 0) {
    return 'ejected';
  }
  if (streams >= server.streamLimit.current) {
    return server.streamLimit.isSlowStart ? 'slowStart' : 'limit';
  }
  const isBusy =
    server.speed.prefillTime(server.prefillTokens) > MAXIMUM_PREFILL_BACKLOG_MILLISECONDS;
  return isBusy || server.lateAt < now ? 'limit' : undefined;
}
