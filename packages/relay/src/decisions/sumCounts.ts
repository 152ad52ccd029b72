/** Adds counts up by their keys. */
export default function sumCounts<Key>(
  parts: readonly ReadonlyMap<Key, number>[],
): ReadonlyMap<Key, number> {
  const sums = new Map<Key, number>();
  parts.forEach((part) =>
    part.forEach((count, key) => {
      sums.set(key, (sums.get(key) ?? 0) + count);
    }),
  );
  return sums;
}
