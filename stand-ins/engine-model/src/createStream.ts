import type { EngineRequest, EngineStream, RequestAudit } from './types';

/** Creates a stream that waits in the engine's queue. */
export default function createStream(request: EngineRequest, audit: RequestAudit): EngineStream {
  return {
    request,
    audit,
    admissionIndex: -1,
    cachedTokens: 0,
    remainingPrefillTokens: 0,
    generatedBeforeDecode: 0,
    memoryTokensBeforeDecode: 0,
    decodeStart: 0,
    decodeEnd: Number.NaN,
    notifiedTokens: 0,
    state: 'waiting',
  };
}
