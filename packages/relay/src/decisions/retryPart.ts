/** Refused requests return after this part of their time at the earliest, spread up to twice that. */
const RETRY_PART = 1 / 6;

export default RETRY_PART;
