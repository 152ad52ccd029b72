import type { StoredMove } from '@rattanreel/moves';
import type { BackendServerSummary } from '@rattanreel/scheduling';

/** Requests of a move's old version that still run at these backend servers. */
export default function countOldVersionRequests(
  servers: readonly BackendServerSummary[],
  move: StoredMove | undefined,
): number {
  return servers
    .filter(({ version }) => version === move?.record.from)
    .reduce((sum, { inFlight }) => sum + inFlight, 0);
}
