import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

interface UsableServerOptions {
  readonly now: Milliseconds;
  readonly evacuated: ReadonlySet<FailureDomainId>;
}

/** Whether requests may go to a server at all: it stays, its domain is in use, and it has not just failed. */
export default function isUsableServer(
  { listed, backoffUntil }: ServerState,
  { now, evacuated }: UsableServerOptions,
): boolean {
  return !listed.isDraining && !evacuated.has(listed.failureDomain) && backoffUntil <= now;
}
