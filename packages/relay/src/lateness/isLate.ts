import type { Milliseconds } from '@rattanreel/core';

/**
 * A host that handles messages later than this is not used by others while there are better ones: half
 * of the 500 ms for which a request may reach its server after its caller has gone. At 120 ms, hosts
 * of small processor shares, which are all late by that much under load, replaced each other as
 * schedulers.
 */
const HIGH_DELAY: Milliseconds = 250;

/** Returns whether a host's event loop delay is high; hosts of earlier versions report none. */
export default function isLate({ loopDelay = 0 }: { readonly loopDelay?: Milliseconds }): boolean {
  return loopDelay >= HIGH_DELAY;
}
