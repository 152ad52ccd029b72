import type { Clock, CustomerId, EntryHostId, Incarnation, Milliseconds } from '@rattanreel/core';
import type { UsageRow } from '../types';
import createUsageRow from './createUsageRow';
import type { UsageOrigin, UsageSum, UsageTable, WindowClock } from './types';

/** Windows after which a host whose counts do not advance is not waited for. */
const WAITED_WINDOWS = 2.5;
/** Windows after which the row of such a host is dropped; its last windows are fixed by then. */
const RETAINED_WINDOWS = 8;
/** Incarnations of hosts that are kept: several times the largest fleet. */
const MAXIMUM_ROWS = 2_000;
/** Hosts whose counts are asked for again in one report. */
const MAXIMUM_INCOMPLETE = 64;

type KeptRow = ReturnType<typeof createUsageRow>;

interface UsageTableOptions {
  readonly clock: Clock;
  readonly windowClock: Pick<WindowClock, 'now'>;
  readonly windowLength: Milliseconds;
  readonly host: EntryHostId;
  readonly incarnation: Incarnation;
  /** Called when a host that sends summaries is heard for the first time. */
  readonly onUnknownSender: () => void;
}

/**
 * Counts the requests that began to run, by window and customer, and merges the counts of all hosts.
 * Handles any rate of requests: a window costs one number for each customer and host. A host that is
 * lost leaves its counts with those that it told.
 */
export default function createUsageTable(options: UsageTableOptions): UsageTable {
  const { clock, windowClock, windowLength, host, incarnation } = options;
  const rows = new Map<string, KeptRow>();

  function getCurrentWindow(): number {
    return Math.floor(windowClock.now() / windowLength);
  }

  function getKey(row: Pick<UsageRow, 'host' | 'incarnation'>): string {
    return `${row.host} ${row.incarnation}`;
  }

  const ownRow = createUsageRow({
    host,
    incarnation,
    since: windowClock.now(),
    current: getCurrentWindow(),
    origin: 'own',
    now: clock.now(),
  });
  rows.set(getKey(ownRow), ownRow);

  function dropOldRows(): void {
    const oldest = clock.now() - RETAINED_WINDOWS * windowLength;
    [...rows]
      .filter(([, row]) => row !== ownRow && row.changedAt < oldest)
      .forEach(([key]) => rows.delete(key));
  }

  function advance(): void {
    const window = getCurrentWindow();
    if (window > ownRow.current) {
      ownRow.advance(window, clock.now());
      dropOldRows();
    }
  }

  function tryGetRow(sent: UsageRow, origin: UsageOrigin): KeptRow | undefined {
    const key = getKey(sent);
    const known = rows.get(key);
    if (known !== undefined || rows.size >= MAXIMUM_ROWS) {
      return known;
    }
    const row = createUsageRow({ ...sent, origin, now: clock.now() });
    rows.set(key, row);
    return row;
  }

  function mergeRow(sent: UsageRow, origin: UsageOrigin): void {
    const row = tryGetRow(sent, origin);
    if (row === undefined || row === ownRow) {
      return;
    }
    const now = clock.now();
    // A host that this one schedules tells it at first hand, whatever came by another way before.
    row.origin = origin === 'scheduled' ? origin : row.origin;
    row.advance(sent.current, now);
    Object.entries(sent.windows).forEach(([window, counts]) =>
      Object.entries(counts).forEach(([customer, count]) =>
        row.raise(Number(window), customer, count, now),
      ),
    );
    Object.entries(sent.totals).forEach(([window, total]) =>
      row.recordTotal(Number(window), total),
    );
  }

  /** Returns whether a host may still send counts of its windows. */
  function isWaitedFor(row: KeptRow): boolean {
    const isHeard = clock.now() - row.changedAt < WAITED_WINDOWS * windowLength;
    const isReplaced = [...rows.values()].some(
      (other) => other.host === row.host && other.since > row.since,
    );
    return isHeard && !isReplaced;
  }

  function sum(window: number): UsageSum {
    advance();
    const counts = new Map<CustomerId, number>();
    let total = 0;
    rows.forEach((row) => {
      const kept = row.tryGetWindow(window);
      kept?.counts.forEach((count, customer) =>
        counts.set(customer, (counts.get(customer) ?? 0) + count),
      );
      total += kept?.total ?? 0;
    });
    const all = [...rows.values()];
    return {
      counts: Object.fromEntries([...counts].sort(([left], [right]) => (left < right ? -1 : 1))),
      total,
      isCounted: all.some(({ since }) => since < (window + 1) * windowLength),
      missing: all
        .filter((row) => !row.isComplete(window) && isWaitedFor(row))
        .map((row) => row.host),
    };
  }

  return {
    recordBegun(customer) {
      advance();
      const window = getCurrentWindow();
      ownRow.raise(window, customer, ownRow.getCount(window, customer) + 1, clock.now());
    },
    merge(sender, report, origin) {
      const isKnown = report.rows.every((row) => row.host !== sender || rows.has(getKey(row)));
      report.rows.forEach((row) => mergeRow(row, origin));
      const incomplete = new Set(report.incomplete);
      rows.forEach((row) => {
        if (incomplete.has(row.host)) {
          row.touch(clock.now());
        }
      });
      if (!isKnown && origin === 'peer') {
        options.onUnknownSender();
      }
    },
    createReport(since, { passedOn, includesOpen }) {
      advance();
      const changes = [...rows.values()].flatMap((row) => {
        if (row === ownRow) {
          return row.tryGetChanges(since, Infinity) ?? [];
        }
        const isPassedOn = row.origin !== 'own' && passedOn.has(row.origin);
        const end = includesOpen ? Infinity : row.current;
        return isPassedOn ? (row.tryGetChanges(since, end) ?? []) : [];
      });
      const incomplete = [...rows.values()]
        .filter((row) => row.isIncomplete())
        .slice(0, MAXIMUM_INCOMPLETE)
        .map((row) => row.host);
      return {
        time: windowClock.now(),
        rows: changes,
        incomplete: incomplete.length === 0 ? undefined : incomplete,
      };
    },
    touch() {
      const now = clock.now();
      rows.forEach((row) => row.touch(now));
    },
    sum,
    countRows: () => rows.size,
  };
}
