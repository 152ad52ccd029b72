import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import isDue from '../limits/isDue';
import type { ServerState } from '../types';
import isUsableServer from './isUsableServer';
import type { ServerEmbargo } from './types';

interface ReadyServerOptions {
  readonly now: Milliseconds;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
  /** Returns whether a server whose version is on trial may get a request now. */
  readonly mayTry?: (server: ServerState) => boolean;
}

/**
 * Returns whether a request may be sent to a usable server now, if it has a free slot: by the limit
 * that it names, by a roll-out and while it is cold.
 */
export default function isReadyServer(server: ServerState, options: ReadyServerOptions): boolean {
  const { now, mayTry = () => true } = options;
  return (
    isUsableServer(server, options) &&
    isDue(server, now) &&
    mayTry(server) &&
    (server.coldUntil <= now || (server.nextColdRequestAt ?? Infinity) <= now)
  );
}
