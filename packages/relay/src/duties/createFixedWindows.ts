import type { UsageRecord } from './types';

interface FixedWindow {
  readonly record: UsageRecord;
  readonly total: number;
  isSent: boolean;
  /** Requests that were counted after the window was fixed, as last logged. */
  late: number;
}

interface FixedWindows {
  has(window: number): boolean;
  tryGet(window: number): FixedWindow | undefined;
  /** Keeps a record; a window that is fixed stays as it is. */
  keep(record: UsageRecord): void;
  remove(window: number): void;
  /** Lists the windows that are not yet sent, oldest first. */
  listPending(): readonly FixedWindow[];
  list(): readonly FixedWindow[];
}

function sumCounts({ counts }: UsageRecord): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** Holds the windows whose usage is fixed, as far as this host knows. */
export default function createFixedWindows(): FixedWindows {
  const windows = new Map<number, FixedWindow>();
  const list = (): readonly FixedWindow[] =>
    [...windows.values()].sort((left, right) => left.record.window - right.record.window);
  return {
    has: (window) => windows.has(window),
    tryGet: (window) => windows.get(window),
    keep(record) {
      if (!windows.has(record.window)) {
        windows.set(record.window, { record, total: sumCounts(record), isSent: false, late: 0 });
      }
    },
    remove: (window) => windows.delete(window),
    listPending: () => list().filter(({ isSent }) => !isSent),
    list,
  };
}
