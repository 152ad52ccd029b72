import type { Milliseconds } from '@rattanreel/core';
import createHedgeBudget from './createHedgeBudget';
import createHedgeDelays from './createHedgeDelays';
import type { HedgeResult, Hedging } from './types';

interface HedgingOptions {
  /** Share of requests that may be sent twice; 0 turns hedging off. */
  readonly limit: number;
  /** Whether hosts are finding out that requests crash servers or that a version is bad. */
  readonly isInvestigating?: () => boolean;
  readonly count?: (result: HedgeResult) => void;
  readonly observeDelay?: (delay: Milliseconds) => void;
}

/** Creates the state that the hedges of one host share. */
export default function createHedging(options: HedgingOptions): Hedging {
  const { limit } = options;
  return {
    isEnabled: limit > 0,
    budget: createHedgeBudget(limit),
    delays: createHedgeDelays(limit),
    isInvestigating: options.isInvestigating ?? (() => false),
    count: (result) => options.count?.(result),
    observeDelay: (delay) => options.observeDelay?.(delay),
  };
}
