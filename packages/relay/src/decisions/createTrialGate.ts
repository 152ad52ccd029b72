import type { Milliseconds } from '@rattanreel/core';
import type { TrialEnd, TrialGate } from './types';

/** Share of the places that trials which come to nothing may hold, over all hosts. */
const WASTED_SHARE = 0.05;
const MINIMUM_PAUSE: Milliseconds = 250;
/** Bounds the time for which a host misses that the reason of its refusals has passed. */
const MAXIMUM_PAUSE: Milliseconds = 4_000;

type GateState =
  | { readonly kind: 'open' }
  | { readonly kind: 'underWay'; readonly since: Milliseconds }
  | { readonly kind: 'pausing'; readonly until: Milliseconds };

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

  function isOpen(now: Milliseconds): boolean {
    switch (state.kind) {
      case 'open':
        return true;
      case 'underWay':
        return false;
      case 'pausing':
        return state.until <= now;
      default:
        return state satisfies never;
    }
  }

  function getNext(end: TrialEnd, since: Milliseconds, now: Milliseconds): GateState {
    switch (end.kind) {
      case 'unused':
      case 'served':
        return { kind: 'open' };
      case 'failed':
        return { kind: 'pausing', until: now + getPause(now - since, end.placesPerHost) };
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
