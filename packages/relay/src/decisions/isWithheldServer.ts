import type { BackendServerId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';
import type { ServerEmbargo } from './types';

interface WithheldServerOptions {
  readonly now: Milliseconds;
  /** The servers as this host knows them now. */
  readonly listed: ReadonlyMap<BackendServerId, ListedServer>;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
}

/**
 * Returns whether this host knows that nothing more may be sent to a server that was chosen a while
 * ago, or by another host. A server that it does not know is not withheld.
 */
export default function isWithheldServer(
  server: ListedServer,
  { now, listed, evacuated, embargo }: WithheldServerOptions,
): boolean {
  const known = listed.get(server.id);
  const isDraining = known?.startedAt === server.startedAt && known?.isDraining === true;
  return isDraining || evacuated.has(server.failureDomain) || embargo.isEmbargoed(server, now);
}
