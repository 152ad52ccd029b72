import createLevel from './createLevel';
import createLine from './createLine';
import type { SpeedModel } from './types';

const PRIOR_FIRST_TOKEN = [
  { x: 0, y: 10 },
  { x: 1_000, y: 110 },
];
const PRIOR_TOKEN_TIME = [
  { x: 1, y: 15 },
  { x: 16, y: 18 },
];
const SAMPLE_KEPT = 0.98;
const SAMPLES_TO_TRUST = 4;
const FULL_WEIGHT_TOKENS = 64;
const LIGHT_PROMPT_TOKENS = 200;
const SMALLEST_TIME = 0.01;

/**
 * Learns the time to the first token as a line in the prompt tokens to compute, and the time between tokens as
 * a line in the streams running. The lines change slowly; a factor on each follows the speed of the moment.
 */
export default function createSpeedModel(): SpeedModel {
  const firstTokenLine = createLine(PRIOR_FIRST_TOKEN, SAMPLE_KEPT);
  const tokenTimeLine = createLine(PRIOR_TOKEN_TIME, SAMPLE_KEPT);
  const prefillLevel = createLevel();
  const decodeLevel = createLevel();
  let samples = 0;
  let lastSampleAt = Number.NEGATIVE_INFINITY;

  function firstTokenAfter(prefillTokens: number): number {
    return Math.max(SMALLEST_TIME, prefillLevel.factor * firstTokenLine.at(prefillTokens));
  }

  function tokenTime(streams: number): number {
    return Math.max(SMALLEST_TIME, decodeLevel.factor * tokenTimeLine.at(streams));
  }

  return {
    get isLearnt() {
      return samples >= SAMPLES_TO_TRUST;
    },
    get lastSampleAt() {
      return lastSampleAt;
    },
    firstTokenAfter,
    prefillTime: (tokens) => tokens * prefillLevel.factor * firstTokenLine.slope(),
    tokenTime,
    learnFirstToken(prefillTokens, measured, now) {
      samples += 1;
      lastSampleAt = now;
      const ratio = measured / Math.max(SMALLEST_TIME, firstTokenLine.at(prefillTokens));
      const isFirst = prefillLevel.samples === 0;
      const slowness = isFirst ? 1 : ratio / prefillLevel.best;
      prefillLevel.add(ratio);
      const weight = LIGHT_PROMPT_TOKENS / (LIGHT_PROMPT_TOKENS + prefillTokens);
      firstTokenLine.add(prefillTokens, measured / prefillLevel.factor, weight);
      return Math.max(SMALLEST_TIME, slowness);
    },
    learnTokenTime(streams, tokens, measured) {
      const weight = Math.min(1, tokens / FULL_WEIGHT_TOKENS);
      decodeLevel.add(measured / Math.max(SMALLEST_TIME, tokenTimeLine.at(streams)));
      tokenTimeLine.add(streams, measured / decodeLevel.factor, weight);
    },
    freeze() {
      const firstTokenAtNone = firstTokenAfter(0);
      const prefillSlope = prefillLevel.factor * firstTokenLine.slope();
      const tokenTimeAtNone = tokenTime(0);
      const streamSlope = decodeLevel.factor * tokenTimeLine.slope();
      return {
        firstTokenAfter: (tokens) => firstTokenAtNone + prefillSlope * tokens,
        tokenTime: (streams) => tokenTimeAtNone + streamSlope * streams,
      };
    },
    restart() {
      prefillLevel.restart();
      decodeLevel.restart();
    },
  };
}
