import type { Incarnation, Random } from '@rattanreel/core';

const ORDER_DIGITS = 9;
const RADIX = 36;
const RANDOM_DIGITS = 8;

/**
 * Names one run of a process. Names sort by `order`, for which a starting process gives its wall
 * time in milliseconds: of two processes with one name the later one stays. Nothing else rests on it.
 */
export default function createIncarnation(order: number, random: Random): Incarnation {
  const prefix = order.toString(RADIX).padStart(ORDER_DIGITS, '0');
  return `${prefix}-${random.identifier().slice(0, RANDOM_DIGITS)}`;
}
