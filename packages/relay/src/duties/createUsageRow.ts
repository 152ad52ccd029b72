import type { CustomerId, EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { UsageRow } from '../types';
import type { UsageOrigin } from './types';

/** Windows that are kept and passed on; a window is fixed within two of them. */
const KEPT_WINDOWS = 6;
/** Windows, with the current one, in which the changes of each customer are told apart. */
const TRACKED_WINDOWS = 2;
/** Customers of a window at one host; far more than any deployment has. */
const MAXIMUM_CUSTOMERS = 4_000;

interface KeptWindow {
  readonly counts: Map<CustomerId, number>;
  /** When counts changed that may not have been told to all hosts; without the old ones. */
  readonly changes: Map<CustomerId, Milliseconds>;
  total: number;
  changedAt: Milliseconds;
  /** All counts are taken as changed at this time. */
  touchedAt: Milliseconds;
}

interface KeptRowOptions extends Pick<UsageRow, 'host' | 'incarnation' | 'since' | 'current'> {
  readonly origin: UsageOrigin | 'own';
  readonly now: Milliseconds;
}

/** The counts of one incarnation of a host. */
interface KeptRow {
  readonly host: EntryHostId;
  readonly incarnation: Incarnation;
  readonly since: number;
  origin: UsageOrigin | 'own';
  current: number;
  changedAt: Milliseconds;
  /** Raises a count to `count`; counts of old windows are ignored. */
  raise(window: number, customer: CustomerId, count: number, now: Milliseconds): void;
  getCount(window: number, customer: CustomerId): number;
  advance(window: number, now: Milliseconds): void;
  recordTotal(window: number, total: number): void;
  tryGetWindow(window: number): Pick<KeptWindow, 'counts' | 'total'> | undefined;
  /** Whether the host counts no more in a window, and all that it counted there is known. */
  isComplete(window: number): boolean;
  /** Whether a total is known that exceeds the known counts: a message was lost. */
  isIncomplete(): boolean;
  touch(now: Milliseconds): void;
  /** Returns what changed since a time in windows before `end`; undefined if nothing did. */
  tryGetChanges(since: Milliseconds, end: number): UsageRow | undefined;
}

/** Returns the counts that changed since a time; all of them if the window was touched since. */
function getChangedCounts(
  { counts, changes, touchedAt }: KeptWindow,
  since: Milliseconds,
): Readonly<Record<CustomerId, number>> {
  return Object.fromEntries(
    touchedAt > since
      ? counts
      : [...counts].filter(([customer]) => (changes.get(customer) ?? -Infinity) > since),
  );
}

/**
 * Keeps the last windows of one incarnation of a host. Counts are merged by maximum, so messages
 * may be lost, repeated, and arrive by several ways.
 */
export default function createUsageRow(options: KeptRowOptions): KeptRow {
  const { host, incarnation, since } = options;
  const windows = new Map<number, KeptWindow>();
  const announcedTotals = new Map<number, number>();
  let advancedAt = options.now;

  function isKept(window: number): boolean {
    return window > row.current - KEPT_WINDOWS && window <= row.current + 1;
  }

  function getWindow(window: number, now: Milliseconds): KeptWindow {
    const kept = windows.get(window) ?? {
      counts: new Map(),
      changes: new Map(),
      total: 0,
      changedAt: now,
      touchedAt: now,
    };
    windows.set(window, kept);
    return kept;
  }

  const row: KeptRow = {
    host,
    incarnation,
    since,
    origin: options.origin,
    current: options.current,
    changedAt: options.now,
    raise(window, customer, count, now) {
      if (!isKept(window)) {
        return;
      }
      const kept = getWindow(window, now);
      const known = kept.counts.get(customer);
      const isRoomLeft = known !== undefined || kept.counts.size < MAXIMUM_CUSTOMERS;
      if (count > (known ?? 0) && isRoomLeft) {
        kept.counts.set(customer, count);
        kept.changes.set(customer, now);
        kept.total += count - (known ?? 0);
        kept.changedAt = now;
        row.changedAt = now;
      }
    },
    getCount: (window, customer) => windows.get(window)?.counts.get(customer) ?? 0,
    advance(window, now) {
      if (window <= row.current) {
        return;
      }
      row.current = window;
      row.changedAt = now;
      advancedAt = now;
      [...windows.keys()].filter((kept) => !isKept(kept)).forEach((old) => windows.delete(old));
      [...announcedTotals.keys()]
        .filter((kept) => !isKept(kept))
        .forEach((old) => announcedTotals.delete(old));
      windows.forEach((kept, old) => {
        if (old <= window - TRACKED_WINDOWS) {
          kept.changes.clear();
        }
      });
    },
    recordTotal(window, total) {
      if (isKept(window)) {
        announcedTotals.set(window, Math.max(announcedTotals.get(window) ?? 0, total));
      }
    },
    tryGetWindow: (window) => windows.get(window),
    isComplete(window) {
      const total = windows.get(window)?.total ?? 0;
      return row.current > window && total >= (announcedTotals.get(window) ?? 0);
    },
    isIncomplete: () =>
      [...announcedTotals].some(([window, total]) => total > (windows.get(window)?.total ?? 0)),
    touch(now) {
      advancedAt = now;
      windows.forEach((kept) => Object.assign(kept, { changedAt: now, touchedAt: now }));
    },
    tryGetChanges(sinceTime, end) {
      const changed = [...windows].filter(
        ([window, kept]) => window < end && kept.changedAt > sinceTime,
      );
      if (changed.length === 0 && advancedAt <= sinceTime) {
        return undefined;
      }
      // A receiver that lost a message of a window learns of it when the next window begins.
      const announced = advancedAt > sinceTime ? [...windows] : changed;
      const totals = announced.map(([window, { total }]) => [window, total] as const);
      return {
        host,
        incarnation,
        since,
        current: row.current,
        totals: Object.fromEntries(totals.filter(([window]) => window < end)),
        windows: Object.fromEntries(
          changed.map(([window, kept]) => [window, getChangedCounts(kept, sinceTime)]),
        ),
      };
    },
  };
  return row;
}
