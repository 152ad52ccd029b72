import type { Milliseconds } from '@rattanreel/core';
import type { RecentMap } from './types';

interface RecentMapOptions {
  readonly maximumSize: number;
  /** Entries that were not set for this long are dropped. */
  readonly maximumAge: Milliseconds;
}

interface RecentEntry<Value> {
  readonly value: Value;
  readonly at: Milliseconds;
}

/** Creates a map that is bounded in size and age; the entry set least recently is dropped first. */
export default function createRecentMap<Key, Value>(
  options: RecentMapOptions,
): RecentMap<Key, Value> {
  const entries = new Map<Key, RecentEntry<Value>>();

  function dropOldest(now: Milliseconds): void {
    const iterator = entries.entries();
    for (let next = iterator.next(); next.done !== true; next = iterator.next()) {
      const [key, { at }] = next.value;
      if (entries.size <= options.maximumSize && now - at <= options.maximumAge) {
        return;
      }
      entries.delete(key);
    }
  }

  return {
    get size() {
      return entries.size;
    },
    get: (key) => entries.get(key)?.value,
    set(key, value, now) {
      entries.delete(key);
      entries.set(key, { value, at: now });
      dropOldest(now);
    },
    delete: (key) => entries.delete(key),
    list: (since = -Infinity) =>
      [...entries].flatMap(([key, { value, at }]) => (at >= since ? [[key, value] as const] : [])),
  };
}
