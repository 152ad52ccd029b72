import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer, ServerState } from '../types';

/** One extra request keeps a server busy until the next peer message, at most 20 ms later. */
const EXTRA_SLOTS = 1;

/** Creates the initial state of a newly listed backend server. */
export default function createServerState(listed: ListedServer, now: Milliseconds): ServerState {
  return {
    listed,
    ownInFlight: 0,
    peerInFlight: 0,
    reportedPeerInFlight: 0,
    reportedAt: -Infinity,
    extraSlots: EXTRA_SLOTS,
    slowness: 1,
    isLeaving: false,
    consecutiveFailures: 0,
    failureRate: 0,
    backoffUntil: 0,
    coldUntil: now + listed.coldFor,
    nextColdRequestAt: undefined,
    ownSlots: undefined,
    pacing: undefined,
  };
}
