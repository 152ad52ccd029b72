import type { Clock } from '@rattanreel/core';
import createTrialGate from '../decisions/createTrialGate';
import decideAgainstEstimate from '../decisions/decideAgainstEstimate';
import type { EstimateOverride, TrialEnd } from '../decisions/types';
import type { QueuedRequest } from '../types';
import type createSlotTracker from './createSlotTracker';
import isInTime from './isInTime';
import type { PoolAverages } from './types';

interface EstimateOverridesOptions {
  readonly clock: Clock;
  readonly averages: PoolAverages;
  readonly queue: { readonly size: number };
  readonly tracker: ReturnType<typeof createSlotTracker>;
  /** Hosts that share the pool's slots. */
  readonly countHosts: () => number;
}

interface EstimateOverrides {
  decide(request: Pick<QueuedRequest, 'priority' | 'outputTokens'>): EstimateOverride;
  endTrial(kind: TrialEnd['kind']): void;
}

/** Decides which requests of a pool are let through although its estimates would refuse them. */
export default function createEstimateOverrides(
  options: EstimateOverridesOptions,
): EstimateOverrides {
  const { clock, averages, queue, tracker } = options;
  const { timeToFirstData, timePerToken } = averages;
  const gate = createTrialGate();

  return {
    decide(request) {
      const now = clock.now();
      const isRepeatable = request.priority.isRepeatable === true;
      const { total: places, inUse: taken } = tracker.countSlots();
      const decayed = {
        timeToFirstData: { get: () => timeToFirstData.getDecayed(now) },
        timePerToken: { get: () => timePerToken.getDecayed(now) },
      };
      const override = decideAgainstEstimate({
        waiting: queue.size,
        places,
        taken,
        ownInFlight: tracker.countOwnInFlight(),
        isFresh: timeToFirstData.isFresh(now),
        isInTime: isInTime(averages, 1, request, now),
        isInTimeByAge: isInTime(decayed, 1, request, now),
        isRepeatable,
        mayTry: gate.isOpen(now, isRepeatable) && tracker.hasFreeSlot(),
      });
      if (override === 'tryOut') {
        gate.begin(now);
        timeToFirstData.doubt();
        timePerToken.doubt();
      }
      return override;
    },
    endTrial(kind) {
      const placesPerHost = tracker.countSlots().total / options.countHosts();
      gate.end(kind === 'failed' ? { kind, placesPerHost } : { kind }, clock.now());
    },
  };
}
