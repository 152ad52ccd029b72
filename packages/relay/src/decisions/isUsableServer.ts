import type { ServerState } from '../types';
import tryGetUnusableReason from './tryGetUnusableReason';
import type { UsableServerOptions } from './types';

/**
 * Returns whether requests may be sent to a server at all: it is not leaving, its failure domain is
 * not evacuated, it is not in backoff and has not asked this host to send nothing.
 */
export default function isUsableServer(server: ServerState, options: UsableServerOptions): boolean {
  return tryGetUnusableReason(server, options) === undefined;
}
