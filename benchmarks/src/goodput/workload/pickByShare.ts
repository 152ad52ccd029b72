/** Picks an item by its share, from a draw in [0, 1). */
export default function pickByShare<Item extends { readonly share: number }>(
  items: readonly Item[],
  draw: number,
): Item {
  const total = items.reduce((sum, { share }) => sum + share, 0);
  let left = draw * total;
  for (const item of items) {
    left -= item.share;
    if (left < 0) {
      return item;
    }
  }
  return items.at(-1)!;
}
