import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';
import type { ServerEmbargo } from './types';

interface UsableServerOptions {
  readonly now: Milliseconds;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
}

/**
 * Returns whether requests may be sent to a server at all: it is not leaving, its failure domain is
 * not evacuated, it is not in backoff and has not asked this host to send nothing.
 */
export default function isUsableServer(
  { listed, isLeaving, backoffUntil }: ServerState,
  { now, evacuated, embargo }: UsableServerOptions,
): boolean {
  return (
    !listed.isDraining &&
    !isLeaving &&
    !evacuated.has(listed.failureDomain) &&
    backoffUntil <= now &&
    !embargo.isEmbargoed(listed, now)
  );
}
