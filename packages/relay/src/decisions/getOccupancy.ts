import type { Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';

/** A load report of the server younger than this takes precedence over the peers' summaries. */
const FRESH_REPORT_AGE: Milliseconds = 20;

/**
 * Estimates the requests that a backend server holds: an exact count for this host, the last
 * reported count for the others.
 */
export default function getOccupancy(state: ServerState, now: Milliseconds): number {
  const isFresh = now - state.reportedAt < FRESH_REPORT_AGE;
  return state.ownInFlight + (isFresh ? state.reportedPeerInFlight : state.peerInFlight);
}
