/** `part` of `whole`; 1 when there is nothing. */
export default function getShare(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}
