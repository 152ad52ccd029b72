import type { OrderEntry, OrderCacheLimits } from './types';

const DEFAULT_LIMITS: OrderCacheLimits = { entries: 20_000, bytes: 16_777_216 };

interface OrderCache {
  tryGet(name: string): OrderEntry | undefined;
  add(entry: OrderEntry): void;
  /** Counts an order that has ended, and forgets the oldest ended ones above the limits. */
  markEnded(entry: OrderEntry): void;
  /** Whether any order was forgotten. */
  hasForgotten(): boolean;
}

function getAnswerLength(entry: OrderEntry): number {
  const { state } = entry;
  return state.kind === 'ended' && state.outcome.kind === 'answered'
    ? state.outcome.answer.body.length
    : 0;
}

/** The orders of one incarnation; running ones are never forgotten. */
export default function createOrderCache(limits: Partial<OrderCacheLimits> = {}): OrderCache {
  const { entries, bytes } = { ...DEFAULT_LIMITS, ...limits };
  const running = new Map<string, OrderEntry>();
  /** In order of their end. */
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
