/** Refused requests return after this part of their time at the earliest, spread up to twice that. */
const MINIMUM_RETRY_FRACTION = 1 / 6;

export default MINIMUM_RETRY_FRACTION;
