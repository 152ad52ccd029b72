import type { Incarnation, Random } from '@rattanreel/core';

const ORDER_DIGITS = 9;
const RADIX = 36;
const RANDOM_DIGITS = 8;

/**
 * Creates the identifier of one run of a process. Identifiers sort by `order`, for which a starting
 * process passes its wall-clock time in milliseconds: of two processes with the same name, the
 * later one stays. Nothing else depends on that time.
 */
export default function createIncarnation(order: number, random: Random): Incarnation {
  const prefix = order.toString(RADIX).padStart(ORDER_DIGITS, '0');
  return `${prefix}-${random.identifier().slice(0, RANDOM_DIGITS)}`;
}
