import type { RequestId, Timer } from '@rattanreel/core';
import type { EngineBatch, EngineBatchOptions, EngineStream, StreamEnd } from './types';
import admitWaiting from './admitWaiting';
import createStream from './createStream';
import evictNewest from './evictNewest';
import getGeneratedTokens from './getGeneratedTokens';
import getIterationMilliseconds from './getIterationMilliseconds';
import getIterationsUntilChange from './getIterationsUntilChange';
import removeStream from './removeStream';
import settle from './settle';
import startDecoding from './startDecoding';

const ROUNDING = 1e-6;

/** An empty batch over `state`. */
export default function createEngineBatch(options: EngineBatchOptions): EngineBatch {
  const { clock, state, cache, everyToken } = options;
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

  function notify(stream: EngineStream): void {
    const generated = getGeneratedTokens(state, stream);
    if (generated > stream.notifiedTokens) {
      stream.notifiedTokens = generated;
      stream.request.listener.onTokens(generated, stream.cachedTokens);
    }
  }

  function finishPrefills(): void {
    let first = state.prefilling[0];
    while (first !== undefined && first.prefillLeft <= ROUNDING) {
      startDecoding(state, first);
      options.onCacheChange(cache.insert(first.request.prefixHashes));
      notify(first);
      [first] = state.prefilling;
    }
  }

  function finishStreams(): void {
    let first = state.decoding.peek();
    while (first !== undefined && first.end <= state.iteration + ROUNDING) {
      const { stream } = first;
      const { outputTokens } = stream.request;
      notify(stream);
      endStream(stream, { kind: 'completed', outputTokens, cachedTokens: stream.cachedTokens });
      first = state.decoding.peek();
    }
  }

  function notifyDecoding(): void {
    [...streams.values()].filter((stream) => stream.state === 'decoding').forEach(notify);
  }

  function advance(): void {
    settle(state, clock.now());
    finishPrefills();
    finishStreams();
    if (everyToken) {
      notifyDecoding();
    }
    while (state.memoryUsed > state.hardware.memoryTokens - ROUNDING && streams.size > 1) {
      evictNewest(state, streams.values());
    }
    admitWaiting(state, cache);
  }

  function plan(): void {
    timer?.cancel();
    state.iterationMilliseconds = getIterationMilliseconds(state);
    options.onChange();
    if (state.iterationMilliseconds > 0 && !stopped) {
      const iterations = getIterationsUntilChange(state, everyToken);
      timer = clock.after(iterations * state.iterationMilliseconds, replan);
    }
  }

  function replan(): void {
    advance();
    plan();
  }

  function endRequest(request: RequestId, kind: 'cancelled' | 'failed'): void {
    const stream = streams.get(request);
    if (stream !== undefined) {
      endStream(stream, { kind, outputTokens: getGeneratedTokens(state, stream) });
    }
  }

  return {
    requests: () => new Set(streams.keys()),
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
      replan();
    },
    end(request, kind) {
      settle(state, clock.now());
      endRequest(request, kind);
      replan();
    },
    failAll() {
      settle(state, clock.now());
      [...streams.keys()].forEach((request) => endRequest(request, 'failed'));
      replan();
    },
    replan,
    stop() {
      timer?.cancel();
      stopped = true;
    },
  };
}
