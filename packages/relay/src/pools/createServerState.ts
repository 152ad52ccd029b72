import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer, ServerState } from '../types';

/** A request more than its places keeps a server busy until the next message, 20 ms later at most. */
const EXTRA_SLOTS = 1;

/** What is known of a backend server that has just been listed: nothing yet. */
export default function createServerState(listed: ListedServer, now: Milliseconds): ServerState {
  return {
    listed,
    ownInFlight: 0,
    peerInFlight: 0,
    reportedPeerInFlight: 0,
    reportedAt: -Infinity,
    extraSlots: EXTRA_SLOTS,
    slowness: 1,
    consecutiveFailures: 0,
    failureRate: 0,
    backoffUntil: 0,
    coldUntil: now + listed.coldFor,
    nextColdRequestAt: undefined,
  };
}
