import type { OrderEntry, OrderMemoryLimits } from './types';

const DEFAULT_LIMITS: OrderMemoryLimits = { entries: 20_000, bytes: 16_777_216 };

interface OrderMemory {
  tryGet(name: string): OrderEntry | undefined;
  add(entry: OrderEntry): void;
  /** Counts an order that has ended, and forgets the oldest ended ones above the limits. */
  noteEnded(entry: OrderEntry): void;
  /** Whether any order was forgotten. */
  hasForgotten(): boolean;
}

function getSize(entry: OrderEntry): number {
  const { state } = entry;
  return state.kind === 'ended' && state.outcome.kind === 'answered'
    ? state.outcome.answer.body.length
    : 0;
}

/** The orders of one incarnation; running ones are never forgotten. */
export default function createOrderMemory(limits: Partial<OrderMemoryLimits> = {}): OrderMemory {
  const { entries, bytes } = { ...DEFAULT_LIMITS, ...limits };
  const running = new Map<string, OrderEntry>();
  /** In order of their end. */
  const ended = new Map<string, OrderEntry>();
  let usedBytes = 0;
  let hasForgotten = false;

  function drop(entry: OrderEntry): void {
    ended.delete(entry.name);
    usedBytes -= getSize(entry);
  }

  function forgetOldest(): void {
    const [oldest] = ended.values();
    if (oldest !== undefined) {
      drop(oldest);
      hasForgotten = true;
    }
  }

  return {
    tryGet: (name) => running.get(name) ?? ended.get(name),
    add(entry) {
      const known = ended.get(entry.name);
      if (known !== undefined) {
        drop(known);
      }
      running.set(entry.name, entry);
    },
    noteEnded(entry) {
      running.delete(entry.name);
      ended.set(entry.name, entry);
      usedBytes += getSize(entry);
      while (ended.size > entries || (usedBytes > bytes && ended.size > 1)) {
        forgetOldest();
      }
    },
    hasForgotten: () => hasForgotten,
  };
}
