import type { EngineState, EngineStream, PrefixCache } from './types';
import getStreamsInHand from './getStreamsInHand';

const BLOCK_TOKENS = 64;

/** Share of the memory that must stay free when a stream is admitted beside others. */
const FREE_MEMORY_SHARE = 0.01;

/** Admits waiting streams in order of arrival for as long as there is room. */
export default function admitWaiting(state: EngineState, cache: PrefixCache): void {
  let next = state.waiting[0];
  while (next !== undefined && hasRoomFor(state, next)) {
    state.waiting.shift();
    admit(state, next, cache);
    [next] = state.waiting;
  }
}

function hasRoomFor(state: EngineState, stream: EngineStream): boolean {
  const { memoryTokens, maximumStreams } = state.hardware;
  const inHand = getStreamsInHand(state);
  const reserve = inHand === 0 ? 0 : memoryTokens * FREE_MEMORY_SHARE;
  const needed = stream.request.promptTokens + stream.generatedBefore + reserve;
  return inHand < maximumStreams && state.memoryUsed + needed <= memoryTokens;
}

function admit(state: EngineState, stream: EngineStream, cache: PrefixCache): void {
  const { promptTokens, prefixHashes } = stream.request;
  const context = promptTokens + stream.generatedBefore;
  const cached = Math.min(cache.match(prefixHashes) * BLOCK_TOKENS, promptTokens - 1);
  if (stream.generatedBefore === 0) {
    stream.cachedTokens = cached;
  }
  stream.state = 'prefilling';
  stream.prefillLeft = context - cached;
  stream.admission = state.admissions;
  state.admissions += 1;
  state.memoryUsed += context;
  state.prefilling.push(stream);
}
