import type { StoredMove } from '@rattanreel/moves';
import type { BackendServerSummary } from '@rattanreel/scheduling';

/** Counts the requests in flight at the backend servers that run a move's old version. */
export default function countOldVersionRequests(
  servers: readonly BackendServerSummary[],
  move: StoredMove | undefined,
): number {
  return servers
    .filter(({ version }) => version === move?.record.from)
    .reduce((sum, { inFlight }) => sum + inFlight, 0);
}
