/**
 * Step by which the rank of a request that is late already lies behind fresh ones: after those of its
 * tier and of the next.
 */
const RETURNING_RANK_STEP = 1.5;

export default RETURNING_RANK_STEP;
