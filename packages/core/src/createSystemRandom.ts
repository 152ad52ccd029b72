import { randomBytes, randomInt } from 'node:crypto';
import type { Random } from './types';

const FLOAT_RANGE = 2 ** 32;
const IDENTIFIER_BYTES = 16;

/** Creates a source of system random numbers, for identifiers that must not repeat across hosts. */
export default function createSystemRandom(): Random {
  return {
    next: () => randomInt(FLOAT_RANGE) / FLOAT_RANGE,
    integer: (low, high) => randomInt(low, high + 1),
    identifier: () => randomBytes(IDENTIFIER_BYTES).toString('hex'),
  };
}
