import type { Milliseconds } from '@rattanreel/core';

/**
 * Time for which an incarnation neither claims nor dispatches an order after it has reported to a survey that it has
 * not run the order. The surveying host has to answer within this time, counted from before it asked, so that its
 * "not run" still holds.
 */
const DENIAL_HOLD: Milliseconds = 2_000;

export default DENIAL_HOLD;
