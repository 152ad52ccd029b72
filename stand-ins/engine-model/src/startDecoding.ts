import type { EngineState, EngineStream } from './types';

/**
 * Moves the first prefilling stream to the decoding ones; the prefill generates one token.
 */
export default function startDecoding(state: EngineState, stream: EngineStream): void {
  state.prefilling.shift();
  stream.state = 'decoding';
  stream.audit.prefilledTokens = Math.round(
    stream.audit.prefilledTokens + stream.remainingPrefillTokens,
  );
  stream.remainingPrefillTokens = 0;
  stream.memoryTokensBeforeDecode = stream.generatedBeforeDecode;
  stream.decodeStart = state.iteration;
  stream.decodeEnd =
    state.iteration + stream.request.outputTokens - stream.generatedBeforeDecode - 1;
  state.decodingCount += 1;
  state.decoding.push({ stream, endIteration: stream.decodeEnd });
}
