import type { Milliseconds } from '@rattanreel/core';

/**
 * How long an incarnation that has denied an order to a survey holds it back. The asker has to answer within this
 * time from before it asked, so that its "not run" is true when it is given.
 */
const DENIAL_HOLD: Milliseconds = 2_000;

export default DENIAL_HOLD;
