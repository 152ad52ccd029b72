import type { RequestId, Timer } from '@rattanreel/core';
import type { EngineBatch, EngineBatchOptions, EngineStream, StreamEnd } from './types';
import admitWaitingStreams from './admitWaitingStreams';
import createStream from './createStream';
import evictNewest from './evictNewest';
import getGeneratedTokens from './getGeneratedTokens';
import getIterationMilliseconds from './getIterationMilliseconds';
import getIterationsUntilChange from './getIterationsUntilChange';
import removeStream from './removeStream';
import advanceEngineState from './advanceEngineState';
import startDecoding from './startDecoding';

const ROUNDING_TOLERANCE = 1e-6;

/** Creates an empty batch over `state`. */
export default function createEngineBatch(options: EngineBatchOptions): EngineBatch {
  const { clock, state, cache, notifyEveryToken } = options;
  const streams = new Map<RequestId, EngineStream>();
  let timer: Timer | undefined;
  let stopped = false;

  function endStream(stream: EngineStream, end: StreamEnd): void {
    removeStream(state, stream);
    stream.state = 'ended';
    streams.delete(stream.request.request);
    stream.audit.state = end.kind;
    stream.audit.prefilledTokens = Math.round(stream.audit.prefilledTokens);
    if (end.kind !== 'completed') {
      stream.audit.wastedPrefillTokens = stream.audit.prefilledTokens;
    }
    stream.request.listener.onEnd(end);
  }

  function notifyListener(stream: EngineStream): void {
    const generated = getGeneratedTokens(state, stream);
    if (generated > stream.notifiedTokens) {
      stream.notifiedTokens = generated;
      stream.request.listener.onTokens(generated, stream.cachedTokens);
    }
  }

  function finishPrefills(): void {
    let first = state.prefilling[0];
    while (first !== undefined && first.remainingPrefillTokens <= ROUNDING_TOLERANCE) {
      startDecoding(state, first);
      options.onCacheChange(cache.insert(first.request.prefixHashes));
      notifyListener(first);
      [first] = state.prefilling;
    }
  }

  function finishStreams(): void {
    let first = state.decoding.peek();
    while (first !== undefined && first.endIteration <= state.iteration + ROUNDING_TOLERANCE) {
      const { stream } = first;
      const { outputTokens } = stream.request;
      notifyListener(stream);
      endStream(stream, { kind: 'completed', outputTokens, cachedTokens: stream.cachedTokens });
      first = state.decoding.peek();
    }
  }

  function notifyDecodingStreams(): void {
    [...streams.values()].filter((stream) => stream.state === 'decoding').forEach(notifyListener);
  }

  function advance(): void {
    advanceEngineState(state, clock.now());
    finishPrefills();
    finishStreams();
    if (notifyEveryToken) {
      notifyDecodingStreams();
    }
    while (
      state.memoryUsed > state.hardware.memoryTokens - ROUNDING_TOLERANCE &&
      streams.size > 1
    ) {
      evictNewest(state, streams.values());
    }
    admitWaitingStreams(state, cache);
  }

  function scheduleNextUpdate(): void {
    timer?.cancel();
    state.iterationMilliseconds = getIterationMilliseconds(state);
    options.onChange();
    if (state.iterationMilliseconds > 0 && !stopped) {
      const iterations = getIterationsUntilChange(state, notifyEveryToken);
      timer = clock.after(iterations * state.iterationMilliseconds, update);
    }
  }

  function update(): void {
    advance();
    scheduleNextUpdate();
  }

  function endRequest(request: RequestId, kind: 'cancelled' | 'failed'): void {
    const stream = streams.get(request);
    if (stream !== undefined) {
      endStream(stream, { kind, outputTokens: getGeneratedTokens(state, stream) });
    }
  }

  return {
    getRequests: () => new Set(streams.keys()),
    countOthers(requests) {
      let others = 0;
      streams.forEach((_, request) => {
        others += requests.has(request) ? 0 : 1;
      });
      return others;
    },
    add(request, audit) {
      const stream = createStream(request, audit);
      streams.set(request.request, stream);
      state.waiting.push(stream);
      update();
    },
    end(request, kind) {
      advanceEngineState(state, clock.now());
      endRequest(request, kind);
      update();
    },
    failAll() {
      advanceEngineState(state, clock.now());
      [...streams.keys()].forEach((request) => endRequest(request, 'failed'));
      update();
    },
    update,
    stop() {
      timer?.cancel();
      stopped = true;
    },
  };
}
