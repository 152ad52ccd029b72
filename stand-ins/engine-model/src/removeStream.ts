import getGeneratedTokens from './getGeneratedTokens';
import type { EngineState, EngineStream } from './types';

/** Takes the stream out of the batch or the queue and frees its memory. */
export default function removeStream(state: EngineState, stream: EngineStream): void {
  switch (stream.state) {
    case 'waiting':
      state.waiting.splice(state.waiting.indexOf(stream), 1);
      break;
    case 'prefilling':
      state.prefilling.splice(state.prefilling.indexOf(stream), 1);
      state.memoryUsed -= stream.request.promptTokens + stream.generatedBefore;
      break;
    case 'decoding':
      stream.generatedBefore = getGeneratedTokens(state, stream);
      state.decodingCount -= 1;
      state.memoryUsed -= heldTokens(state, stream);
      stream.decodeEnd = Number.NaN;
      break;
    case 'ended':
    default:
      return;
  }
  state.memoryUsed = Math.max(0, state.memoryUsed);
  dropVoidEntries(state);
}

function heldTokens(state: EngineState, stream: EngineStream): number {
  const generated = state.iteration - stream.decodeStart;
  return stream.request.promptTokens + stream.heldBefore + generated;
}

function dropVoidEntries(state: EngineState): void {
  let first = state.decoding.peek();
  while (first !== undefined && first.stream.decodeEnd !== first.end) {
    state.decoding.pop();
    first = state.decoding.peek();
  }
}
