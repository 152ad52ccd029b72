import type { EngineRequest, EngineStream, RequestAudit } from './types';

/** A stream that waits in the engine's queue. */
export default function createStream(request: EngineRequest, audit: RequestAudit): EngineStream {
  return {
    request,
    audit,
    admission: -1,
    cachedTokens: 0,
    prefillLeft: 0,
    generatedBefore: 0,
    heldBefore: 0,
    decodeStart: 0,
    decodeEnd: Number.NaN,
    notifiedTokens: 0,
    state: 'waiting',
  };
}
