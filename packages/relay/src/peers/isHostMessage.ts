import type { HostSummary } from '../types';
import type { HostMessage } from './types';

const SUMMARY_PARTS = ['inFlight', 'tiers', 'waiting'] as const;

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

/**
 * Returns whether a peer's message has the parts that are stored and read later, where a missing one
 * would throw far from its cause. All other parts may be absent, as in other versions.
 */
export default function isHostMessage(body: unknown): body is HostMessage {
  if (!isObject(body)) {
    return false;
  }
  const message = body as Partial<Omit<HostSummary, 'kind'>> & { readonly kind?: unknown };
  const isSummary = message.kind === 'summary' || message.kind === 'change';
  return (
    typeof message.kind === 'string' &&
    (!isSummary ||
      (typeof message.entryHost === 'string' &&
        SUMMARY_PARTS.every((part) => isObject(message[part]))))
  );
}
