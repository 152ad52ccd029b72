import type { OrderEntry, OrderCacheLimits } from './types';

const DEFAULT_LIMITS: OrderCacheLimits = { entries: 20_000, bytes: 16_777_216 };

interface OrderCache {
  tryGet(name: string): OrderEntry | undefined;
  add(entry: OrderEntry): void;
  /** Marks an order as ended and evicts the oldest ended orders above the limits. */
  markEnded(entry: OrderEntry): void;
  /** Whether any order has been evicted. */
  hasForgotten(): boolean;
}

function getAnswerLength(entry: OrderEntry): number {
  const { state } = entry;
  return state.kind === 'ended' && state.outcome.kind === 'answered'
    ? state.outcome.answer.body.length
    : 0;
}

/** Creates the cache of one incarnation's orders; running orders are never evicted. */
export default function createOrderCache(limits: Partial<OrderCacheLimits> = {}): OrderCache {
  const { entries, bytes } = { ...DEFAULT_LIMITS, ...limits };
  const running = new Map<string, OrderEntry>();
  /** Ordered by the time at which they ended. */
  const ended = new Map<string, OrderEntry>();
  let usedBytes = 0;
  let hasForgotten = false;

  function removeEnded(entry: OrderEntry): void {
    ended.delete(entry.name);
    usedBytes -= getAnswerLength(entry);
  }

  function evictOldest(): void {
    const [oldest] = ended.values();
    if (oldest !== undefined) {
      removeEnded(oldest);
      hasForgotten = true;
    }
  }

  return {
    tryGet: (name) => running.get(name) ?? ended.get(name),
    add(entry) {
      const known = ended.get(entry.name);
      if (known !== undefined) {
        removeEnded(known);
      }
      running.set(entry.name, entry);
    },
    markEnded(entry) {
      running.delete(entry.name);
      ended.set(entry.name, entry);
      usedBytes += getAnswerLength(entry);
      while (ended.size > entries || (usedBytes > bytes && ended.size > 1)) {
        evictOldest();
      }
    },
    hasForgotten: () => hasForgotten,
  };
}
