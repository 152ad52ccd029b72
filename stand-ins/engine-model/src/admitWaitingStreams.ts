import type { EngineState, EngineStream, PrefixCache } from './types';
import countAdmittedStreams from './countAdmittedStreams';

const BLOCK_TOKENS = 64;

/** Share of the memory that must stay free when a stream is admitted to a non-empty batch. */
const MINIMUM_FREE_MEMORY_SHARE = 0.01;

/** Admits waiting streams in order of arrival while there is capacity. */
export default function admitWaitingStreams(state: EngineState, cache: PrefixCache): void {
  let next = state.waiting[0];
  while (next !== undefined && hasCapacityFor(state, next)) {
    state.waiting.shift();
    admit(state, next, cache);
    [next] = state.waiting;
  }
}

function hasCapacityFor(state: EngineState, stream: EngineStream): boolean {
  const { memoryTokens, maximumStreams } = state.hardware;
  const admitted = countAdmittedStreams(state);
  const reserve = admitted === 0 ? 0 : memoryTokens * MINIMUM_FREE_MEMORY_SHARE;
  const needed = stream.request.promptTokens + stream.generatedBeforeDecode + reserve;
  return admitted < maximumStreams && state.memoryUsed + needed <= memoryTokens;
}

function admit(state: EngineState, stream: EngineStream, cache: PrefixCache): void {
  const { promptTokens, prefixHashes } = stream.request;
  const context = promptTokens + stream.generatedBeforeDecode;
  const cached = Math.min(cache.match(prefixHashes) * BLOCK_TOKENS, promptTokens - 1);
  if (stream.generatedBeforeDecode === 0) {
    stream.cachedTokens = cached;
  }
  stream.state = 'prefilling';
  stream.remainingPrefillTokens = context - cached;
  stream.admissionIndex = state.admissionCount;
  state.admissionCount += 1;
  state.memoryUsed += context;
  state.prefilling.push(stream);
}
