import type { Page } from './types';

/** Returns the page of at most `limit` items that follow the id `after` in the order of ids. */
export default function paginate<Item extends { readonly id: string }>(
  items: readonly Item[],
  limit: number,
  after: string | undefined,
): Page<Item> {
  const sorted = [...items].sort((left, right) => (left.id < right.id ? -1 : 1));
  const startIndex = after === undefined ? 0 : sorted.findIndex(({ id }) => id > after);
  const page = startIndex < 0 ? [] : sorted.slice(startIndex, startIndex + limit);
  const isLast = startIndex < 0 || startIndex + limit >= sorted.length;
  return { items: page, next: isLast ? undefined : page.at(-1)?.id };
}
