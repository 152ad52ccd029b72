import type { Milliseconds } from '@rattanreel/core';
import createQuantileEstimate from './createQuantileEstimate';
import type { HedgeClass, HedgeDelays } from './types';

/** Hedges that the quantile leads to, as a part of the limit; the rest is for slower moments. */
const QUANTILE_LIMIT_FRACTION = 0.8;
/** A shorter delay would race the usual variation of the network and the event loop. */
const MINIMUM_DELAY: Milliseconds = 20;
/** Bounds the memory; a deployment has some tens of pools. */
const MAXIMUM_CLASSES = 200;
/** Prompts of up to this many tokens are read in a time that is short against a step. */
const SHORT_PROMPT_TOKENS = 256;

function getKey({ pool, kind, promptTokens }: HedgeClass): string {
  const size = Math.ceil(Math.log2(Math.max(promptTokens, SHORT_PROMPT_TOKENS)));
  return `${pool} ${kind} ${size}`;
}

/**
 * Follows how long nearly all requests of a class wait for their first data. Answers the load in
 * which a small share of requests takes many times the usual time at servers with free slots.
 */
export default function createHedgeDelays(limit: number): HedgeDelays {
  const quantile = 1 - limit * QUANTILE_LIMIT_FRACTION;
  const estimates = new Map<string, ReturnType<typeof createQuantileEstimate>>();

  return {
    record(hedgeClass, timeToFirstData) {
      const key = getKey(hedgeClass);
      let estimate = estimates.get(key);
      if (estimate === undefined) {
        if (estimates.size >= MAXIMUM_CLASSES) {
          estimates.delete(estimates.keys().next().value!);
        }
        estimate = createQuantileEstimate(quantile);
        estimates.set(key, estimate);
      }
      estimate.add(timeToFirstData);
    },
    tryGet(hedgeClass) {
      const estimate = estimates.get(getKey(hedgeClass))?.tryGet();
      return estimate === undefined ? undefined : Math.max(estimate, MINIMUM_DELAY);
    },
  };
}
