import type { Incarnation, Random } from '@rattanreel/core';
import createIncarnation from './createIncarnation';

const RADIX = 36;

/** Creates an incarnation that sorts after `previous`. */
export default function createLaterIncarnation(previous: Incarnation, random: Random): Incarnation {
  const order = Number.parseInt(previous.split('-')[0] ?? '', RADIX);
  return createIncarnation((Number.isNaN(order) ? 0 : order) + 1, random);
}
