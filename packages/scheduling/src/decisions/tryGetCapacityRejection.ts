import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { RejectionReason } from '../types';

const MAXIMUM_PREFILL_BACKLOG_MILLISECONDS = 400;

/** Returns why a backend server cannot take another stream of any size; undefined when it can. */
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
    server.speed.predictPrefillTime(server.prefillTokens) > MAXIMUM_PREFILL_BACKLOG_MILLISECONDS;
  return isBusy || server.lateAt < now ? 'limit' : undefined;
}
