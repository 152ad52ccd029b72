import type { Milliseconds } from '@rattanreel/core';
import type { StreamLimit } from './types';

const SLOW_START_GROWTH = 1;
const ADDITIVE_GROWTH = 1;
const CONGESTION_FACTOR = 0.85;
const CONGESTION_INTERVAL_MILLISECONDS = 500;
const USED_SHARE_TO_GROW = 0.7;

interface StreamLimitOptions {
  readonly maximumStreams: number;
  readonly slowStartStreams: number;
}

/**
 * Bounds the streams of one backend server: exponential growth by success while cold, then additive
 * growth and multiplicative decrease.
 */
export default function createStreamLimit(options: StreamLimitOptions): StreamLimit {
  let maximum = options.maximumStreams;
  let bound = Math.min(maximum, options.slowStartStreams);
  let slowStart = bound < maximum;
  let lastDecrease: Milliseconds = Number.NEGATIVE_INFINITY;

  return {
    get current() {
      return Math.max(1, Math.floor(bound));
    },
    get isSlowStart() {
      return slowStart;
    },
    succeeded(streams) {
      if (streams < bound * USED_SHARE_TO_GROW) {
        return;
      }
      bound = Math.min(maximum, bound + (slowStart ? SLOW_START_GROWTH : ADDITIVE_GROWTH / bound));
      slowStart = slowStart && bound < maximum;
    },
    congested(now) {
      if (now - lastDecrease < CONGESTION_INTERVAL_MILLISECONDS) {
        return;
      }
      lastDecrease = now;
      bound = Math.max(Math.min(options.slowStartStreams, maximum), bound * CONGESTION_FACTOR);
      slowStart = false;
    },
    restart() {
      bound = Math.min(maximum, options.slowStartStreams);
      slowStart = bound < maximum;
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
