import type { StoredMove } from '@rattanreel/moves';
import type { BackendServerSummary } from '@rattanreel/scheduling';

/**
 * Calculates the share of the requests in flight, between 0 and 1, that the backend servers of a
 * move's new version can take.
 */
export default function calculateBearableShare(
  servers: readonly BackendServerSummary[],
  move: StoredMove | undefined,
): number {
  const streams = servers
    .filter(({ version }) => version === move?.record.to)
    .reduce((sum, { streamLimit }) => sum + streamLimit, 0);
  const inFlight = servers.reduce((sum, server) => sum + server.inFlight, 0);
  return Math.min(1, streams / Math.max(1, inFlight));
}
