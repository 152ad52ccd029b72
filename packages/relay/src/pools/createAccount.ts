import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer, ServerAccount } from '../types';

/** A request more than its places keeps a server busy until the next message, 20 ms later at most. */
const EXTRA_PLACES = 1;

/** What is known of a backend server that has just been listed: nothing yet. */
export default function createAccount(listed: ListedServer, now: Milliseconds): ServerAccount {
  return {
    listed,
    own: 0,
    others: 0,
    reportedOthers: 0,
    reportedAt: -Infinity,
    extraPlaces: EXTRA_PLACES,
    slowness: 1,
    failures: 0,
    failureShare: 0,
    avoidedUntil: 0,
    coldUntil: now + listed.coldFor,
    nextColdAt: undefined,
  };
}
