import type { Milliseconds } from '@rattanreel/core';
import type { TrialEnd, TrialGate } from './types';

/** Share of the places that trials which come to nothing may hold, over all hosts. */
const WASTED_SHARE = 0.05;
const MINIMUM_PAUSE: Milliseconds = 250;
/** Bounds the time for which a host misses that the reason of its refusals has passed. */
const MAXIMUM_PAUSE: Milliseconds = 4_000;

/** Further pause of requests that cannot be repeated; doubled with each trial that fails in a row. */
const UNREPEATABLE_PAUSE: Milliseconds = 2_000;
const MAXIMUM_UNREPEATABLE_PAUSE: Milliseconds = 16_000;

type GateState =
  | { readonly kind: 'open' }
  | { readonly kind: 'underWay'; readonly since: Milliseconds }
  | {
      readonly kind: 'pausing';
      readonly until: Milliseconds;
      readonly untilForUnrepeatable: Milliseconds;
    };

/** Returns the time after a trial of this duration that keeps the host within its share. */
function getPause(heldFor: Milliseconds, placesPerHost: number): Milliseconds {
  const share = Math.min(Math.max(placesPerHost * WASTED_SHARE, 0), 1);
  const pause = share === 0 ? MAXIMUM_PAUSE : heldFor * (1 / share - 1);
  return Math.min(Math.max(pause, MINIMUM_PAUSE), MAXIMUM_PAUSE);
}

/**
 * Lets requests through one at a time against an estimate that would refuse them (half-open probes):
 * the next one at once if the last was served, after a pause if it was not.
 */
export default function createTrialGate(): TrialGate {
  let state: GateState = { kind: 'open' };
  let failures = 0;

  function isOpen(now: Milliseconds, isRepeatable: boolean): boolean {
    switch (state.kind) {
      case 'open':
        return true;
      case 'underWay':
        return false;
      case 'pausing':
        return (isRepeatable ? state.until : state.untilForUnrepeatable) <= now;
      default:
        return state satisfies never;
    }
  }

  function getNext(end: TrialEnd, since: Milliseconds, now: Milliseconds): GateState {
    switch (end.kind) {
      case 'unused':
        return { kind: 'open' };
      case 'served':
        failures = 0;
        return { kind: 'open' };
      case 'failed': {
        const until = now + getPause(now - since, end.placesPerHost);
        const further = Math.min(UNREPEATABLE_PAUSE * 2 ** failures, MAXIMUM_UNREPEATABLE_PAUSE);
        failures += 1;
        return { kind: 'pausing', until, untilForUnrepeatable: until + further };
      }
      default:
        return end satisfies never;
    }
  }

  return {
    isOpen,
    begin(now) {
      state = { kind: 'underWay', since: now };
    },
    end(end, now) {
      if (state.kind === 'underWay') {
        state = getNext(end, state.since, now);
      }
    },
  };
}
