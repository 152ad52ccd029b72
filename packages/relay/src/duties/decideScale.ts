import type { Milliseconds } from '@rattanreel/core';
import type { ScaleDecision, ScaleDemand, ScaleState } from './types';

/** Share of the slots in use at which the number of servers is right: queues stay short below it. */
const TARGET_OCCUPANCY = 0.75;
/** Time over which the load is averaged, longer than a request and shorter than a boot. */
const LOAD_TIME: Milliseconds = 1_500;
const SETTLING_TIME: Milliseconds = 3 * LOAD_TIME;
/** Time beyond a boot for which demand must stay low before servers are given up. */
const LOW_MARGIN: Milliseconds = 10_000;

interface ScaleOptions {
  readonly now: Milliseconds;
  readonly demand: ScaleDemand;
  /** Undefined at the first decision of a holder. */
  readonly state: ScaleState | undefined;
}

function updateLoad({ now, demand, state }: ScaleOptions): number {
  const load = demand.inFlight + demand.waiting;
  if (state === undefined) {
    return load;
  }
  const weight = 1 - Math.exp(-(now - state.updatedAt) / LOAD_TIME);
  return state.load + (load - state.load) * weight;
}

function clamp(count: number, { settings }: ScaleDemand): number {
  return Math.min(Math.max(count, settings.minimum), settings.maximum);
}

/**
 * Decides how many servers of a pool are ordered in a failure domain. Handles bursts, by ordering
 * at once what the load needs; waves, by giving servers up only after the load was low for longer
 * than a boot, so that the next wave finds them; and lost domains, whose load is unknown, by
 * giving nothing up there.
 */
export default function decideScale(options: ScaleOptions): ScaleDecision {
  const { now, demand, state } = options;
  const load = updateLoad(options);
  const needed = clamp(Math.ceil(load / (demand.slots * TARGET_OCCUPANCY) - 1e-6), demand);
  // Draining servers leave by themselves; ordered ones that are not listed are booting.
  const current = state?.ordered ?? demand.ready;
  const base = { load, updatedAt: now, orderedAt: state?.orderedAt ?? -Infinity };
  const orderOf = (desired: number): ScaleDecision => ({
    desired,
    state: { ...base, ordered: state?.ordered, lowSince: undefined, neededSince: 0 },
  });
  if (needed > current || clamp(current, demand) !== current) {
    return orderOf(Math.max(needed, clamp(current, demand)));
  }
  const isLow = needed < current && demand.isKnown;
  if (!isLow) {
    const next = { ...base, ordered: state?.ordered, lowSince: undefined, neededSince: 0 };
    return { desired: undefined, state: next };
  }
  const lowSince = state?.lowSince ?? now;
  // The average still falls at first; what it needs then says nothing of the time after it.
  const isSettled = now - lowSince > SETTLING_TIME;
  const neededSince = isSettled ? Math.max(needed, state?.neededSince ?? 0) : 0;
  const next = { ...base, ordered: state?.ordered, lowSince, neededSince };
  const isOver = now - lowSince > demand.settings.bootTime + LOW_MARGIN;
  return { desired: isOver ? neededSince : undefined, state: next };
}
