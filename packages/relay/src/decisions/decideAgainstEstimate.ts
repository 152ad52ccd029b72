import hasSpareCapacity from '../hedging/hasSpareCapacity';
import type { EstimateOverride } from './types';

/** Share of a pool's places that requests which miss their objective may fill while none waits. */
const LATE_SHARE = 0.5;

interface RefusedOptions {
  /** Requests that wait at this host, and the slots of the pool with those that all hosts use. */
  readonly waiting: number;
  readonly places: number;
  readonly taken: number;
  readonly ownInFlight: number;
  readonly isFresh: boolean;
  /** Whether the response is expected by the caller's deadline, by what was learnt. */
  readonly isInTime: boolean;
  /** The same, with what was learnt weighed by its age. */
  readonly isInTimeByAge: boolean;
  readonly isRepeatable: boolean;
  readonly mayTry: boolean;
}

/**
 * Decides on a request that would be refused as late. While servers are idle it is served late, if by
 * its deadline: late is better than never, and the responses correct the estimate. Where the estimate
 * leaves no time, but nothing recent or in use supports it, one request at a time tries.
 */
export default function decideAgainstEstimate(options: RefusedOptions): EstimateOverride {
  const { waiting, ownInFlight, isFresh, isInTime, isInTimeByAge } = options;
  if (isInTime && hasSpareCapacity(options, LATE_SHARE)) {
    return 'serveLate';
  }
  const isUnsupported = !isFresh || (waiting === 0 && ownInFlight === 0);
  // A request that cannot be repeated is lost if it misses its deadline.
  const isBearable = options.isRepeatable || isInTimeByAge;
  return isUnsupported && isBearable && options.mayTry ? 'tryOut' : 'refuse';
}
