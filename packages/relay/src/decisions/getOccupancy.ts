import type { Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

/** A load report younger than this goes before what the other hosts tell of themselves. */
const FRESH_REPORT_AGE: Milliseconds = 20;
/** Age up to which a report counts for hosts that are not heard; a few answers' time. */
const USABLE_REPORT_AGE: Milliseconds = 300;

/** Requests that a backend server is expected to hold: this host's exactly, the others' as last told. */
export default function getOccupancy(
  state: ServerState,
  now: Milliseconds,
  hasFullPeerView: boolean,
): number {
  const age = now - state.reportedAt;
  if (age < FRESH_REPORT_AGE) {
    return state.ownInFlight + state.reportedPeerInFlight;
  }
  const isUsed = !hasFullPeerView && age < USABLE_REPORT_AGE;
  return state.ownInFlight + Math.max(state.peerInFlight, isUsed ? state.reportedPeerInFlight : 0);
}
