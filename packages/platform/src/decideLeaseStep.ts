import type { Milliseconds } from '@rattanreel/core';
import type { LeaseObservation, LeaseRecord, LeaseStep } from './types';

/** Covers clocks of holder and taker that run at slightly different speeds. */
const CLOCK_DRIFT_FACTOR = 1.05;

interface LeaseStepOptions {
  readonly now: Milliseconds;
  readonly holder: string;
  /** What stands in the store, and since when this process has seen that version; undefined for nothing. */
  readonly observation: LeaseObservation | undefined;
}

function getTakeoverTime(observation: LeaseObservation, record: LeaseRecord): Milliseconds {
  return observation.since + record.duration * CLOCK_DRIFT_FACTOR;
}

/**
 * Decides what a candidate does about a lease that it does not hold. A lease is taken over once its holder has
 * released it, when the candidate itself was the holder, or once its version has stood unchanged for its whole duration by the candidate's own clock.
 */
export default function decideLeaseStep(options: LeaseStepOptions): LeaseStep {
  const { now, holder, observation } = options;
  if (observation === undefined) {
    return { kind: 'create', generation: 1 };
  }
  const record = observation.object.value;
  const generation = record.generation + 1;
  if (record.isReleased || record.holder === holder) {
    return { kind: 'take', version: observation.object.version, generation };
  }
  const takeoverAt = getTakeoverTime(observation, record);
  return now >= takeoverAt
    ? { kind: 'take', version: observation.object.version, generation }
    : { kind: 'wait', delay: takeoverAt - now };
}
