import type { Milliseconds } from '@rattanreel/core';
import type { FirstTokenSample, StreamLimit } from './types';

const CONGESTION_FACTOR = 0.85;
const CONGESTION_INTERVAL_MILLISECONDS = 500;
const USED_SHARE_TO_GROW = 0.7;
const SLOWNESS_TO_HOLD = 1.5;
const SLOW_START_GROWTH = 1.5;
const ROUND_SHARE = 0.5;

interface StreamLimitOptions {
  readonly maximumStreams: number;
  readonly slowStartStreams: number;
}

/**
 * Bounds the streams of one backend server. It grows by rounds: when enough first tokens of requests granted
 * under the bound of now have come about as fast as at their best, by half while cold and by one after that.
 */
export default function createStreamLimit(options: StreamLimitOptions): StreamLimit {
  let maximum = options.maximumStreams;
  let bound = smallest();
  let slowStart = bound < maximum;
  let lastDecrease: Milliseconds = Number.NEGATIVE_INFINITY;
  let roundSince: Milliseconds = Number.NEGATIVE_INFINITY;
  let roundSamples = 0;
  let roundSlowness = 0;
  let roundUsed = false;

  function smallest(): number {
    return Math.min(maximum, options.slowStartStreams);
  }

  function startRound(now: Milliseconds): void {
    roundSince = now;
    roundSamples = 0;
    roundSlowness = 0;
    roundUsed = false;
  }

  function grow(): void {
    const next = slowStart ? Math.max(bound + 1, bound * SLOW_START_GROWTH) : bound + 1;
    bound = Math.min(maximum, next);
    slowStart = slowStart && bound < maximum;
  }

  return {
    get current() {
      return Math.max(1, Math.floor(bound));
    },
    get isSlowStart() {
      return slowStart;
    },
    firstToken(sample: FirstTokenSample, now) {
      if (sample.grantedAt < roundSince || bound >= maximum || sample.streams > bound) {
        return;
      }
      roundSamples += 1;
      roundSlowness += Math.log(sample.slowness);
      roundUsed = roundUsed || sample.streams >= bound * USED_SHARE_TO_GROW;
      if (roundSamples < bound * ROUND_SHARE || !roundUsed) {
        return;
      }
      const meanSlowness = Math.exp(roundSlowness / roundSamples);
      if (meanSlowness <= SLOWNESS_TO_HOLD) {
        grow();
      }
      startRound(now);
    },
    congested(now) {
      if (now - lastDecrease >= CONGESTION_INTERVAL_MILLISECONDS) {
        lastDecrease = now;
        bound = Math.max(smallest(), bound * CONGESTION_FACTOR);
        startRound(now);
      }
    },
    restart(now) {
      bound = smallest();
      slowStart = bound < maximum;
      startRound(now);
    },
    admitKnown(streams) {
      bound = Math.min(maximum, Math.max(bound, streams));
      slowStart = slowStart && bound < maximum;
    },
    setMaximum(maximumStreams) {
      maximum = maximumStreams;
      bound = Math.min(bound, maximum);
    },
  };
}
