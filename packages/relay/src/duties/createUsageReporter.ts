import type { Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createFixedWindows from './createFixedWindows';
import decideFixing from './decideFixing';
import readUsageRecords from './readUsageRecords';
import type { DutyCall, DutyHolding, DutyReply, UsageRecords, UsageSum, UsageTable } from './types';

/** Windows before the current one that may be fixed; the table keeps one more. */
const FIXABLE_WINDOWS = 4;
/** Sent windows whose records are kept, so that no holder fixes one of them again. */
const KEPT_RECORDS = 12;
/** Windows that wait for the platform, in memory and in the store: an hour of 5 s windows. */
const MAXIMUM_PENDING = 720;
/** Records removed in one step. */
const REMOVALS_PER_STEP = 2;
const INITIAL_BACKOFF: Milliseconds = 200;
const MAXIMUM_BACKOFF: Milliseconds = 1_600;
const BACKOFF_FACTOR = 2;

interface UsageReporterOptions {
  readonly now: () => Milliseconds;
  readonly logger: Logger;
  readonly table: Pick<UsageTable, 'sum'>;
  readonly records: UsageRecords;
  readonly windowLength: Milliseconds;
  readonly reportDelay: Milliseconds;
  /** Returns the time by which windows advance. */
  readonly getWindowTime: () => number;
  /** Makes a call under the lease; undefined if it may not be made now. */
  readonly tryCall: (call: DutyCall) => Promise<DutyReply> | undefined;
  /** Records that the store is in this era. */
  readonly onEra: (era: number) => void;
}

interface UsageReporter {
  /** Takes the next step as the holder of the lease. */
  step(holding: DutyHolding): Promise<void>;
  /**
   * Records that the store may have lost records: windows that ended by now are not fixed, unless
   * this host was the holder, which knows what it fixed.
   */
  recordLostRecords(wasHolder: boolean): void;
  getFigures(): {
    readonly lastFixedWindow: number;
    readonly lastSentWindow: number;
    readonly pending: number;
    readonly lag: Milliseconds;
    readonly late: number;
  };
}

/**
 * Fixes the usage of each window, records it in the store and sends it, oldest first. Handles a
 * platform that is down, slow or whose answers are lost: what is recorded is sent again, exactly.
 */
export default function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { logger, table, records, windowLength } = options;
  const fixed = createFixedWindows();
  const skipped = new Set<number>();
  let loadedToken: number | undefined;
  let fixedElsewhereUntil = -Infinity;
  let nextCallAt = -Infinity;
  let backoff = INITIAL_BACKOFF;
  let late = 0;
  let lastSentWindow = -1;

  function getCurrentWindow(): number {
    return Math.floor(options.getWindowTime() / windowLength);
  }

  async function tryLoad({ token, era }: DutyHolding): Promise<boolean> {
    if (loadedToken === token) {
      return true;
    }
    const oldest = getCurrentWindow() - KEPT_RECORDS;
    const read = await readUsageRecords({ records, fixed, oldest, era });
    if (read.kind === 'newerEra') {
      options.onEra(read.era);
    } else if (read.kind === 'read') {
      loadedToken = token;
      logger.info({ token, stored: read.stored, lost: read.lost }, 'usage records read');
    }
    return read.kind === 'read';
  }

  function tryFindNext(): (Pick<UsageSum, 'missing'> & { readonly window: number }) | undefined {
    const current = getCurrentWindow();
    for (let window = current - FIXABLE_WINDOWS; window < current; window += 1) {
      if (!fixed.has(window) && !skipped.has(window)) {
        const sum = table.sum(window);
        const time = options.getWindowTime();
        const decision = decideFixing({ ...options, time, window, fixedElsewhereUntil, sum });
        if (decision === 'fix') {
          return { window, missing: sum.missing };
        }
        if (decision === 'skip') {
          skipped.add(window);
          logger.warn({ window, isCounted: sum.isCounted }, 'usage window not reported');
        }
      }
    }
    return undefined;
  }

  async function fixNext(holding: DutyHolding): Promise<void> {
    const next = tryFindNext();
    if (next === undefined) {
      return;
    }
    const { window, missing } = next;
    const { counts, total } = table.sum(window);
    const result = await records.create({ window, counts });
    if (result.kind === 'notRecorded') {
      logger.warn({ window }, 'usage window not recorded');
      return;
    }
    if (result.era > holding.era) {
      options.onEra(result.era);
      return;
    }
    fixed.keep(result.record);
    logger.info({ window, total, missing, token: holding.token }, 'usage window fixed');
  }

  async function sendNext(): Promise<void> {
    const [next] = fixed.listPending();
    if (next === undefined || options.now() < nextCallAt) {
      return;
    }
    const { window, counts } = next.record;
    const reply = await options.tryCall({ kind: 'usage', window, counts });
    if (reply?.kind === 'accepted') {
      next.isSent = true;
      lastSentWindow = Math.max(lastSentWindow, window);
      backoff = INITIAL_BACKOFF;
      const delay = options.getWindowTime() - (window + 1) * windowLength;
      logger.info({ window, delay: Math.round(delay) }, 'usage window sent');
    } else if (reply !== undefined && reply.kind !== 'notSent') {
      nextCallAt = options.now() + backoff;
      backoff = Math.min(backoff * BACKOFF_FACTOR, MAXIMUM_BACKOFF);
      logger.warn({ window, reply }, 'usage window not sent');
    }
  }

  /** Counts and logs what arrived for a window after it was fixed. */
  function checkLate(): void {
    const current = getCurrentWindow();
    fixed.list().forEach((entry) => {
      const { window } = entry.record;
      if (window < current - FIXABLE_WINDOWS) {
        return;
      }
      const surplus = table.sum(window).total - entry.total;
      if (surplus > entry.late) {
        late += surplus - entry.late;
        logger.warn({ window, requests: surplus - entry.late }, 'late usage');
        entry.late = surplus;
      }
    });
  }

  async function removeOld(): Promise<void> {
    const current = getCurrentWindow();
    const old = fixed.list().filter(({ record, isSent }) => {
      const age = current - record.window;
      return (isSent && age > KEPT_RECORDS) || age > MAXIMUM_PENDING;
    });
    for (const { record } of old.slice(0, REMOVALS_PER_STEP)) {
      fixed.remove(record.window);
      await records.remove(record.window);
    }
    skipped.forEach((window) => {
      if (window < current - KEPT_RECORDS) {
        skipped.delete(window);
      }
    });
  }

  return {
    async step(holding) {
      if (!(await tryLoad(holding))) {
        return;
      }
      await fixNext(holding);
      await sendNext();
      checkLate();
      await removeOld();
    },
    recordLostRecords(wasHolder) {
      loadedToken = undefined;
      if (!wasHolder) {
        fixedElsewhereUntil = options.getWindowTime();
      }
    },
    getFigures() {
      const pending = fixed.listPending();
      const [oldest] = pending;
      const lag =
        oldest === undefined
          ? 0
          : options.getWindowTime() - (oldest.record.window + 1) * windowLength;
      const lastFixedWindow = fixed.list().at(-1)?.record.window ?? -1;
      return { lastFixedWindow, lastSentWindow, pending: pending.length, lag, late };
    },
  };
}
