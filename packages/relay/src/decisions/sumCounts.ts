/** Sums counts by key; each part is a map or the entries of one. */
export default function sumCounts<Key>(
  parts: readonly Iterable<readonly [Key, number]>[],
): ReadonlyMap<Key, number> {
  const sums = new Map<Key, number>();
  parts.forEach((part) =>
    [...part].forEach(([key, count]) => {
      sums.set(key, (sums.get(key) ?? 0) + count);
    }),
  );
  return sums;
}
