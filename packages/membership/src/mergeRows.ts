import type { MemberRow } from './types';

/**
 * Returns the later of two rows of one entry host, or one with the accusers of both when they are
 * equal.
 */
export default function mergeRows(left: MemberRow, right: MemberRow): MemberRow {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation ? left : right;
  }
  if (left.dead !== right.dead) {
    return left.dead ? left : right;
  }
  if (left.version !== right.version) {
    return left.version > right.version ? left : right;
  }
  const missing = right.accusers.filter((accuser) => !left.accusers.includes(accuser));
  return missing.length === 0 ? left : { ...left, accusers: [...left.accusers, ...missing].sort() };
}
