/** Counts how often each value occurs. */
export default function countValues<Value>(values: Iterable<Value>): ReadonlyMap<Value, number> {
  const counts = new Map<Value, number>();
  for (const value of values) {
    counts.set(value, (counts.get(value) ?? 0) + 1);
  }
  return counts;
}
