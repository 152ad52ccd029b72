import type { Milliseconds } from '@rattanreel/core';
import type { FirstTokenSample, StreamLimit } from './types';

const CONGESTION_FACTOR = 0.85;
const CONGESTION_INTERVAL_MILLISECONDS = 500;
const MINIMUM_UTILISATION_TO_GROW = 0.7;
const MAXIMUM_SLOWNESS_TO_GROW = 1.5;
const SLOW_START_GROWTH_FACTOR = 1.5;
const ROUND_SAMPLE_SHARE = 0.5;

interface StreamLimitOptions {
  readonly maximumStreams: number;
  readonly slowStartStreams: number;
}

/**
 * Limits the concurrent streams of one backend server. The limit grows in rounds: a round ends once
 * enough first tokens of requests granted under the current limit have arrived and the limit was
 * well used. When they were about as fast as the best recent ones, the limit grows by half in slow
 * start and by one after that.
 */
export default function createStreamLimit(options: StreamLimitOptions): StreamLimit {
  let maximum = options.maximumStreams;
  let limit = getInitialLimit();
  let isSlowStart = limit < maximum;
  let lastDecrease: Milliseconds = Number.NEGATIVE_INFINITY;
  let roundStartedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  let roundSamples = 0;
  let roundLogSlowness = 0;
  let isRoundUtilised = false;

  function getInitialLimit(): number {
    return Math.min(maximum, options.slowStartStreams);
  }

  function startRound(now: Milliseconds): void {
    roundStartedAt = now;
    roundSamples = 0;
    roundLogSlowness = 0;
    isRoundUtilised = false;
  }

  function increase(): void {
    const next = isSlowStart ? Math.max(limit + 1, limit * SLOW_START_GROWTH_FACTOR) : limit + 1;
    limit = Math.min(maximum, next);
    isSlowStart = isSlowStart && limit < maximum;
  }

  return {
    get current() {
      return Math.max(1, Math.floor(limit));
    },
    get isSlowStart() {
      return isSlowStart;
    },
    recordFirstToken(sample: FirstTokenSample, now) {
      if (sample.grantedAt < roundStartedAt || limit >= maximum || sample.streams > limit) {
        return;
      }
      roundSamples += 1;
      roundLogSlowness += Math.log(sample.slowness);
      isRoundUtilised = isRoundUtilised || sample.streams >= limit * MINIMUM_UTILISATION_TO_GROW;
      if (roundSamples < limit * ROUND_SAMPLE_SHARE || !isRoundUtilised) {
        return;
      }
      const meanSlowness = Math.exp(roundLogSlowness / roundSamples);
      if (meanSlowness <= MAXIMUM_SLOWNESS_TO_GROW) {
        increase();
      }
      startRound(now);
    },
    recordCongestion(now) {
      if (now - lastDecrease >= CONGESTION_INTERVAL_MILLISECONDS) {
        lastDecrease = now;
        limit = Math.max(getInitialLimit(), limit * CONGESTION_FACTOR);
        startRound(now);
      }
    },
    restartSlowStart(now) {
      limit = getInitialLimit();
      isSlowStart = limit < maximum;
      startRound(now);
    },
    raiseTo(streams) {
      limit = Math.min(maximum, Math.max(limit, streams));
      isSlowStart = isSlowStart && limit < maximum;
    },
    setMaximum(maximumStreams) {
      maximum = maximumStreams;
      limit = Math.min(limit, maximum);
    },
  };
}
