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
}

function getTakeoverTime(observation: LeaseObservation, record: LeaseRecord): Milliseconds {
  return observation.since + record.duration * CLOCK_DRIFT_FACTOR;
}

/**
 * Decides the next step of a candidate for a lease that it does not hold. A lease may be taken over
 * once its holder has released it, when the candidate itself was the holder, or once its version
 * has stayed unchanged for its whole duration by the candidate's own clock.
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
