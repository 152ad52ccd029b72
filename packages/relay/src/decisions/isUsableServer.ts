import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

interface UsableServerOptions {
  readonly now: Milliseconds;
  readonly evacuated: ReadonlySet<FailureDomainId>;
}

/**
 * Returns whether requests may be sent to a server at all: it is not draining, its failure domain
 * is not evacuated, and it is not in backoff.
 */
export default function isUsableServer(
  { listed, backoffUntil }: ServerState,
  { now, evacuated }: UsableServerOptions,
): boolean {
  return !listed.isDraining && !evacuated.has(listed.failureDomain) && backoffUntil <= now;
}
