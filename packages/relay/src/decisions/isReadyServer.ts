import type { ServerState } from '../types';
import tryGetNotReadyReason from './tryGetNotReadyReason';
import type { ReadyServerOptions } from './types';

/**
 * Returns whether a request may be sent to a usable server now, if it has a free slot: by the limit
 * that it names, by a roll-out and while it is cold.
 */
export default function isReadyServer(server: ServerState, options: ReadyServerOptions): boolean {
  return tryGetNotReadyReason(server, options) === undefined;
}
