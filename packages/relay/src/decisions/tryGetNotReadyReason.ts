import isDue from '../limits/isDue';
import type { ServerState } from '../types';
import tryGetUnusableReason from './tryGetUnusableReason';
import type { NotReadyReason, ReadyServerOptions } from './types';

/** Returns why no request may be sent to a server now; undefined if one may, given a free slot. */
export default function tryGetNotReadyReason(
  server: ServerState,
  options: ReadyServerOptions,
): NotReadyReason | undefined {
  const { now, mayTry } = options;
  const unusable = tryGetUnusableReason(server, options);
  if (unusable !== undefined) {
    return unusable;
  }
  if (!isDue(server, now)) {
    return 'limitReached';
  }
  if (mayTry !== undefined && !mayTry(server)) {
    return 'onTrial';
  }
  const isCold = server.coldUntil > now && (server.nextColdRequestAt ?? Infinity) > now;
  return isCold ? 'cold' : undefined;
}
