import { fail, ok } from '@rattanreel/core';
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { hashPromptPrefixes } from '@rattanreel/stand-in-engine-model';
import type { EngineModel } from '@rattanreel/stand-in-engine-model';
import createBadness from './createBadness';
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

/** Tokens after which a stream that a bad version spoils fails. */
const SPOILED_AFTER_TOKENS = 2;

/** Joins the engine model with the streams that its callers read. */
export default function createEngineService(options: EngineServiceOptions): EngineService {
  const { clock, model } = options;
  const streams = createTokenStreams(clock);
  const badness = createBadness(options.random);
  const orders: EngineOrder[] = [];
  let { version } = options;
  let role = 'both';
  let fence = 0;
  let cutAfter: number | undefined;
  let slowDownFactor = 1;
  let appliedFactor = 1;
  let inHand = 0;

  function applySpeed(): void {
    const factor = slowDownFactor * badness.slowDownFactor(version, inHand);
    if (factor !== appliedFactor) {
      appliedFactor = factor;
      model.slowDown(factor);
    }
  }

  function apply(order: EngineOrder): void {
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
    start(request, body) {
      const prefixHashes = hashPromptPrefixes(body.promptWords);
      const promptTokens = Math.max(1, body.promptWords.length);
      const spoiled = badness.spoils(version, inHand);
      let onTokens = (_tokens: number, _cached: number): void => {};
      let endedAtOnce: 'completed' | 'failed' | 'cancelled' | undefined;
      let onEnd = (kind: 'completed' | 'failed' | 'cancelled'): void => {
        // A cold engine may fall over under the very request that it takes in.
        endedAtOnce = kind;
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
      stream.cutAfter = cutAfter;
      cutAfter = undefined;
      inHand += 1;
      applySpeed();
      onTokens = (tokens, cached) => {
        stream.tokens = tokens;
        stream.cachedTokens = cached;
        streams.notify(stream);
        if (spoiled && tokens >= SPOILED_AFTER_TOKENS) {
          model.fail(request);
        }
      };
      onEnd = (kind) => {
        inHand -= 1;
        streams.end(stream, kind);
        applySpeed();
      };
      if (endedAtOnce !== undefined) {
        onEnd(endedAtOnce);
      }
      return ok(stream);
    },
    tryGetStream: streams.tryGet,
    tryExportCache(request) {
      const stream = streams.tryGet(request);
      return stream && { request, prefixHashes: stream.prefixHashes };
    },
    takeOrder(order) {
      if (options.checksFencing && order.fence < fence) {
        return fail({ kind: 'staleFence', fence });
      }
      fence = Math.max(fence, order.fence);
      orders.push(order);
      apply(order);
      return ok(undefined);
    },
    load: () => ({ ...model.load(), role, fence }),
    orders: () => orders,
    version: () => version,
    cutStreamAfter(tokens) {
      cutAfter = tokens;
    },
    badVersion(bad) {
      badness.set(bad);
      applySpeed();
    },
    slowDown(factor) {
      slowDownFactor = factor;
      applySpeed();
    },
    close: streams.closeAll,
  };
}
