import type { ServerState } from '../types';
import type { UnusableReason, UsableServerOptions } from './types';

/** Returns why no request may be sent to a server at all; undefined if requests may be sent. */
export default function tryGetUnusableReason(
  { listed, isLeaving, backoffUntil }: ServerState,
  { now, evacuated, embargo }: UsableServerOptions,
): UnusableReason | undefined {
  if (listed.isDraining) {
    return 'draining';
  }
  if (isLeaving) {
    return 'leaving';
  }
  if (evacuated.has(listed.failureDomain)) {
    return 'domainEvacuated';
  }
  if (backoffUntil > now) {
    return 'backoff';
  }
  return embargo.isEmbargoed(listed, now) ? 'embargoed' : undefined;
}
