import type { Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

/** A load report of the server younger than this takes precedence over the peers' summaries. */
const FRESH_REPORT_AGE: Milliseconds = 20;
/**
 * Age up to which a load report is used for the requests of hosts that this host receives no
 * summaries from. This is the time of a few responses.
 */
const USABLE_REPORT_AGE: Milliseconds = 300;

/**
 * Estimates the requests that a backend server holds: an exact count for this host, the last
 * reported count for the others.
 */
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
