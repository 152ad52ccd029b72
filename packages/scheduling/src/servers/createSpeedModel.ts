import type { SpeedModel } from './types';

const PRIOR_PREFILL_MILLISECONDS_PER_TOKEN = 0.1;
const PRIOR_TOKEN_TIME_MILLISECONDS = 15;
const PRIOR_TOKEN_TIME_PER_STREAM_MILLISECONDS = 0.2;
const PRIOR_WEIGHT = 0.05;
const SAMPLE_KEPT = 0.95;
const FORGOTTEN_KEPT = 0.05;
const SAMPLES_TO_TRUST = 4;
const FULL_WEIGHT_TOKENS = 64;
const TYPICAL_PROMPT_TOKENS = 256;
const SMALLEST_TIME = 0.01;

/** Weighted sums of a straight line from streams to time between tokens. */
interface LineSums {
  weight: number;
  x: number;
  xx: number;
  y: number;
  xy: number;
}

function priorLine(): LineSums {
  const streams = [1, 16];
  const sums: LineSums = { weight: 0, x: 0, xx: 0, y: 0, xy: 0 };
  streams.forEach((x) => {
    const y = PRIOR_TOKEN_TIME_MILLISECONDS + x * PRIOR_TOKEN_TIME_PER_STREAM_MILLISECONDS;
    addPoint(sums, x, y, PRIOR_WEIGHT);
  });
  return sums;
}

function addPoint(sums: LineSums, x: number, y: number, weight: number): void {
  sums.weight += weight;
  sums.x += weight * x;
  sums.xx += weight * x * x;
  sums.y += weight * y;
  sums.xy += weight * x * y;
}

function scaleLine(sums: LineSums, factor: number): void {
  sums.weight *= factor;
  sums.x *= factor;
  sums.xx *= factor;
  sums.y *= factor;
  sums.xy *= factor;
}

function slopeOf(sums: LineSums): number {
  const spread = sums.weight * sums.xx - sums.x * sums.x;
  const raw = spread > 1e-9 ? (sums.weight * sums.xy - sums.x * sums.y) / spread : 0;
  const steepest = sums.x > 0 ? sums.y / sums.x : 0;
  return Math.min(Math.max(raw, 0), steepest);
}

/**
 * Learns prefill time per prompt token and time between tokens as a straight line in the streams running,
 * from exponentially weighted samples.
 */
export default function createSpeedModel(): SpeedModel {
  const line = priorLine();
  let prefillSquares = PRIOR_WEIGHT * TYPICAL_PROMPT_TOKENS ** 2;
  let prefillProducts = prefillSquares * PRIOR_PREFILL_MILLISECONDS_PER_TOKEN;
  let samples = 0;

  function tokenTime(streams: number): number {
    const slope = slopeOf(line);
    const mean = line.y / line.weight;
    return Math.max(SMALLEST_TIME, mean + slope * (streams - line.x / line.weight));
  }

  function firstTokenAfter(prefillTokens: number, streams: number): number {
    return tokenTime(streams) + prefillTokens * (prefillProducts / prefillSquares);
  }

  return {
    get isLearnt() {
      return samples >= SAMPLES_TO_TRUST;
    },
    firstTokenAfter,
    tokenTime,
    learnFirstToken(prefillTokens, streams, measured) {
      const expected = firstTokenAfter(prefillTokens, streams);
      const tokens = Math.max(1, prefillTokens);
      const beyondStep = Math.max(0, measured - tokenTime(streams));
      prefillSquares = prefillSquares * SAMPLE_KEPT + tokens * tokens;
      prefillProducts = prefillProducts * SAMPLE_KEPT + tokens * beyondStep;
      samples += 1;
      return measured / Math.max(SMALLEST_TIME, expected);
    },
    learnTokenTime(streams, tokens, measured) {
      const expected = tokenTime(streams);
      scaleLine(line, SAMPLE_KEPT);
      addPoint(line, streams, measured, Math.min(1, tokens / FULL_WEIGHT_TOKENS));
      return measured / Math.max(SMALLEST_TIME, expected);
    },
    forget() {
      scaleLine(line, FORGOTTEN_KEPT);
      prefillSquares *= FORGOTTEN_KEPT;
      prefillProducts *= FORGOTTEN_KEPT;
    },
  };
}
