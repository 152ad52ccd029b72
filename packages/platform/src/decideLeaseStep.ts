import type { Milliseconds } from '@rattanreel/core';
import type { LeaseObservation, LeaseRecord, LeaseStep } from './types';

/**
 * Allows for the clocks of the holder and of the candidate running at slightly different speeds.
 */
const CLOCK_DRIFT_FACTOR = 1.05;

interface LeaseStepOptions {
  readonly now: Milliseconds;
  readonly holder: string;
  /**
   * The stored lease and the time since which this process has seen its version; undefined when
   * there is none.
   */
  readonly observation: LeaseObservation | undefined;
  /**
   * Time since which this process has known the store as it is: its era, and that it holds no lease
   * if there is none. A lease is neither created nor acquired until its whole duration after it.
   */
  readonly settledSince?: Milliseconds | undefined;
  /** Duration of a lease that the store does not contain. */
  readonly duration?: Milliseconds;
}

function getTakeoverTime(observation: LeaseObservation, record: LeaseRecord): Milliseconds {
  return observation.since + record.duration * CLOCK_DRIFT_FACTOR;
}

/**
 * Decides the next step of a candidate for a lease that it does not hold. A lease may be taken over
 * once its holder has released it, when the candidate itself was the holder, or once its version
 * has stayed unchanged for its whole duration by the candidate's own clock. A store that may have
 * returned from an older copy may lack the lease on which a holder acts, hence `settledSince`.
 */
export default function decideLeaseStep(options: LeaseStepOptions): LeaseStep {
  const { now, holder, observation, settledSince, duration = 0 } = options;
  const settledAt = settledSince === undefined ? now : settledSince + duration * CLOCK_DRIFT_FACTOR;
  if (now < settledAt) {
    return { kind: 'wait', delay: settledAt - now };
  }
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
