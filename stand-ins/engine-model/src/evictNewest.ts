import type { EngineState, EngineStream } from './types';
import removeStream from './removeStream';

/** Moves the stream admitted last back to the head of the queue; its prefill is lost. */
export default function evictNewest(state: EngineState, streams: Iterable<EngineStream>): void {
  let newest: EngineStream | undefined;
  for (const stream of streams) {
    const admitted = stream.state === 'prefilling' || stream.state === 'decoding';
    if (admitted && (newest === undefined || stream.admissionIndex > newest.admissionIndex)) {
      newest = stream;
    }
  }
  if (newest === undefined) {
    return;
  }
  removeStream(state, newest);
  newest.state = 'waiting';
  newest.audit.evictions += 1;
  newest.audit.wastedPrefillTokens = newest.audit.prefilledTokens;
  state.waiting.unshift(newest);
}
