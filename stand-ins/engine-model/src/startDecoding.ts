import type { EngineState, EngineStream } from './types';

/** Moves the first prefilling stream to the decoding ones; its first token is out. */
export default function startDecoding(state: EngineState, stream: EngineStream): void {
  state.prefilling.shift();
  stream.state = 'decoding';
  stream.audit.prefilledTokens = Math.round(stream.audit.prefilledTokens + stream.prefillLeft);
  stream.prefillLeft = 0;
  stream.heldBefore = stream.generatedBefore;
  stream.decodeStart = state.iteration;
  stream.decodeEnd = state.iteration + stream.request.outputTokens - stream.generatedBefore - 1;
  state.decodingCount += 1;
  state.decoding.push({ stream, end: stream.decodeEnd });
}
