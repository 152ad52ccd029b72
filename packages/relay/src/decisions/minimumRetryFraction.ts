/**
 * Minimum delay before a refused request may return, as a fraction of its remaining time. The
 * actual delay is random, up to twice the minimum.
 */
const MINIMUM_RETRY_FRACTION = 1 / 6;

export default MINIMUM_RETRY_FRACTION;
