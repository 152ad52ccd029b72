import { fail, ok } from '@rattanreel/core';
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { hashPromptPrefixes } from '@rattanreel/stand-in-engine-model';
import type { EngineModel } from '@rattanreel/stand-in-engine-model';
import createRegressionInjector from './createRegressionInjector';
import createTokenStreams from './createTokenStreams';
import type { EngineOrder, EngineService } from './types';

interface EngineServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly model: EngineModel;
  readonly version: string;
  readonly checksFencing: boolean;
  readonly loadMilliseconds: Milliseconds;
}

/** Number of tokens after which a stream that an injected regression makes fail ends. */
const TOKENS_BEFORE_INJECTED_FAILURE = 2;

/** Creates the service that connects the engine model with the token streams its callers read. */
export default function createEngineService(options: EngineServiceOptions): EngineService {
  const { clock, model } = options;
  const streams = createTokenStreams(clock);
  const regressionInjector = createRegressionInjector(options.random);
  const orders: EngineOrder[] = [];
  let { version } = options;
  let role = 'both';
  let highestFence = 0;
  let disconnectAfterTokens: number | undefined;
  let slowDownFactor = 1;
  let appliedFactor = 1;
  let runningStreams = 0;

  function updateSpeed(): void {
    const factor = slowDownFactor * regressionInjector.getSlowDownFactor(version, runningStreams);
    if (factor !== appliedFactor) {
      appliedFactor = factor;
      model.slowDown(factor);
    }
  }

  function applyOrder(order: EngineOrder): void {
    switch (order.order) {
      case 'loadVersion':
        version = order.version;
        model.loadVersion(version, options.loadMilliseconds);
        break;
      case 'setRole':
        role = order.role;
        break;
      case 'loadAdapter':
      default:
        break;
    }
  }

  return {
    startStream(request, body) {
      const prefixHashes = hashPromptPrefixes(body.promptWords);
      const promptTokens = Math.max(1, body.promptWords.length);
      const shouldFail = regressionInjector.shouldFail(version, runningStreams);
      let onTokens = (_tokens: number, _cached: number): void => {};
      let endedOnSubmit: 'completed' | 'failed' | 'cancelled' | undefined;
      let onEnd = (kind: 'completed' | 'failed' | 'cancelled'): void => {
        // A cold engine may crash while it accepts this request.
        endedOnSubmit = kind;
      };
      const outcome = model.submit({
        request,
        promptTokens,
        outputTokens: body.outputTokens,
        prefixHashes,
        listener: {
          onTokens: (tokens, cached) => onTokens(tokens, cached),
          onEnd: (end) => onEnd(end.kind),
        },
      });
      if (outcome.kind === 'error') {
        return outcome;
      }
      const stream = streams.open({ request, model: body.model, promptTokens, prefixHashes });
      stream.disconnectAfterTokens = disconnectAfterTokens;
      disconnectAfterTokens = undefined;
      runningStreams += 1;
      updateSpeed();
      onTokens = (tokens, cached) => {
        stream.tokens = tokens;
        stream.cachedTokens = cached;
        streams.notify(stream);
        if (shouldFail && tokens >= TOKENS_BEFORE_INJECTED_FAILURE) {
          model.fail(request);
        }
      };
      onEnd = (kind) => {
        runningStreams -= 1;
        streams.end(stream, kind);
        updateSpeed();
      };
      if (endedOnSubmit !== undefined) {
        onEnd(endedOnSubmit);
      }
      return ok(stream);
    },
    tryGetStream: streams.tryGet,
    tryExportCache(request) {
      const stream = streams.tryGet(request);
      return stream && { request, prefixHashes: stream.prefixHashes };
    },
    acceptOrder(order) {
      if (options.checksFencing && order.fence < highestFence) {
        return fail({ kind: 'staleFence', fence: highestFence });
      }
      highestFence = Math.max(highestFence, order.fence);
      orders.push(order);
      applyOrder(order);
      return ok(undefined);
    },
    getLoad: () => ({ ...model.getLoad(), role, fence: highestFence }),
    getOrders: () => orders,
    getVersion: () => version,
    disconnectStreamAfter(tokens) {
      disconnectAfterTokens = tokens;
    },
    injectRegression(regression) {
      regressionInjector.setRegression(regression);
      updateSpeed();
    },
    slowDown(factor) {
      slowDownFactor = factor;
      updateSpeed();
    },
    close: streams.closeAll,
  };
}
