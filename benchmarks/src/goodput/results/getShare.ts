/** Returns `part` as a share of `whole`; 1 when `whole` is 0. */
export default function getShare(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}
