import type { Milliseconds } from '@rattanreel/core';

/**
 * Requests that were reported as queued at another host are not waited for after this time. While
 * slots are scarce a host sends a message every 20 to 50 ms; one that is silent for longer may be
 * cut off.
 */
const WAITING_TIME_TO_LIVE: Milliseconds = 100;

export default WAITING_TIME_TO_LIVE;
