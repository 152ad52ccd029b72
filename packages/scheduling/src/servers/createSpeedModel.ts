import createSpeedFactor from './createSpeedFactor';
import createLinearRegression from './createLinearRegression';
import type { SpeedModel } from './types';

const PRIOR_FIRST_TOKEN = [
  { x: 0, y: 10 },
  { x: 1_000, y: 110 },
];
const PRIOR_TOKEN_TIME = [
  { x: 1, y: 15 },
  { x: 16, y: 18 },
];
const SAMPLE_DECAY_FACTOR = 0.98;
const MINIMUM_SAMPLES = 4;
const FULL_WEIGHT_TOKENS = 64;
const HALF_WEIGHT_PROMPT_TOKENS = 200;
const MINIMUM_TIME_MILLISECONDS = 0.01;

/**
 * Models the time to the first token as a linear function of the prompt tokens to compute, and the
 * time between tokens as a linear function of the running streams. The linear regressions adapt
 * slowly; a factor on each tracks the current speed.
 */
export default function createSpeedModel(): SpeedModel {
  const firstTokenRegression = createLinearRegression(PRIOR_FIRST_TOKEN, SAMPLE_DECAY_FACTOR);
  const tokenTimeRegression = createLinearRegression(PRIOR_TOKEN_TIME, SAMPLE_DECAY_FACTOR);
  const prefillFactor = createSpeedFactor();
  const decodeFactor = createSpeedFactor();
  let samples = 0;
  let lastSampleAt = Number.NEGATIVE_INFINITY;

  function predictFirstTokenAfter(prefillTokens: number): number {
    return Math.max(
      MINIMUM_TIME_MILLISECONDS,
      prefillFactor.value * firstTokenRegression.predict(prefillTokens),
    );
  }

  function predictTokenTime(streams: number): number {
    return Math.max(
      MINIMUM_TIME_MILLISECONDS,
      decodeFactor.value * tokenTimeRegression.predict(streams),
    );
  }

  return {
    get hasEnoughSamples() {
      return samples >= MINIMUM_SAMPLES;
    },
    get lastSampleAt() {
      return lastSampleAt;
    },
    predictFirstTokenAfter,
    predictPrefillTime: (tokens) => tokens * prefillFactor.value * firstTokenRegression.getSlope(),
    predictTokenTime,
    addFirstTokenSample(prefillTokens, measured, now) {
      samples += 1;
      lastSampleAt = now;
      const ratio =
        measured / Math.max(MINIMUM_TIME_MILLISECONDS, firstTokenRegression.predict(prefillTokens));
      const isFirst = prefillFactor.sampleCount === 0;
      const slowness = isFirst ? 1 : ratio / prefillFactor.best;
      prefillFactor.add(ratio);
      const weight = HALF_WEIGHT_PROMPT_TOKENS / (HALF_WEIGHT_PROMPT_TOKENS + prefillTokens);
      firstTokenRegression.add(prefillTokens, measured / prefillFactor.value, weight);
      return Math.max(MINIMUM_TIME_MILLISECONDS, slowness);
    },
    addTokenTimeSample(streams, tokens, measured) {
      const weight = Math.min(1, tokens / FULL_WEIGHT_TOKENS);
      decodeFactor.add(
        measured / Math.max(MINIMUM_TIME_MILLISECONDS, tokenTimeRegression.predict(streams)),
      );
      tokenTimeRegression.add(streams, measured / decodeFactor.value, weight);
    },
    snapshot() {
      const firstTokenIntercept = predictFirstTokenAfter(0);
      const prefillSlope = prefillFactor.value * firstTokenRegression.getSlope();
      const tokenTimeIntercept = predictTokenTime(0);
      const streamSlope = decodeFactor.value * tokenTimeRegression.getSlope();
      return {
        predictFirstTokenAfter: (tokens) => firstTokenIntercept + prefillSlope * tokens,
        predictTokenTime: (streams) => tokenTimeIntercept + streamSlope * streams,
      };
    },
    discountHistory() {
      prefillFactor.restart();
      decodeFactor.restart();
    },
  };
}
