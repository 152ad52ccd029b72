import type { Random } from '@rattanreel/core';

const MIDDLE = 0.5;

/**
 * Random numbers for queries: the middle of each range. A query must not draw from the host's own
 * generator, whose next numbers decide about requests.
 */
const expectedRandom: Random = {
  next: () => MIDDLE,
  integer: (low, high) => Math.floor((low + high) / 2),
  identifier: () => 'query',
};

export default expectedRandom;
