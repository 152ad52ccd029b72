import type { RequestId } from '@rattanreel/core';
import type { RequestAudit } from './types';

/** Creates the audit of a request that has not been accepted yet. */
export default function createRequestAudit(request: RequestId): RequestAudit {
  return {
    request,
    dispatches: 0,
    prefilledTokens: 0,
    wastedPrefillTokens: 0,
    evictions: 0,
    state: 'refused',
  };
}
