import getGeneratedTokens from './getGeneratedTokens';
import type { EngineState, EngineStream } from './types';

/** Removes the stream from the batch or the queue and frees its memory. */
export default function removeStream(state: EngineState, stream: EngineStream): void {
  switch (stream.state) {
    case 'waiting':
      state.waiting.splice(state.waiting.indexOf(stream), 1);
      break;
    case 'prefilling':
      state.prefilling.splice(state.prefilling.indexOf(stream), 1);
      state.memoryUsed -= stream.request.promptTokens + stream.generatedBeforeDecode;
      break;
    case 'decoding':
      stream.generatedBeforeDecode = getGeneratedTokens(state, stream);
      state.decodingCount -= 1;
      state.memoryUsed -= countMemoryTokens(state, stream);
      stream.decodeEnd = Number.NaN;
      break;
    case 'ended':
    default:
      return;
  }
  state.memoryUsed = Math.max(0, state.memoryUsed);
  removeStaleEntries(state);
}

function countMemoryTokens(state: EngineState, stream: EngineStream): number {
  const generated = state.iteration - stream.decodeStart;
  return stream.request.promptTokens + stream.memoryTokensBeforeDecode + generated;
}

function removeStaleEntries(state: EngineState): void {
  let first = state.decoding.peek();
  while (first !== undefined && first.stream.decodeEnd !== first.endIteration) {
    state.decoding.pop();
    first = state.decoding.peek();
  }
}
