import pino from 'pino';
import getLogDestination from './getLogDestination';
import type { BoundedLogger, BoundedLoggerOptions } from './types';

/** Lines per second of one message; further ones are counted and summarised in one line. */
const DEFAULT_LINES_PER_SECOND = 40;
const MILLISECONDS_PER_SECOND = 1_000;

interface MessageCount {
  written: number;
  suppressed: number;
}

/**
 * Creates a structured log on standard output that never blocks: a slow reader causes lines to be
 * dropped, not requests to wait, and the rate of each message is bounded. Lines left out are
 * counted and reported.
 */
export default function createBoundedLogger(options: BoundedLoggerOptions): BoundedLogger {
  const { clock, linesPerSecond = DEFAULT_LINES_PER_SECOND } = options;
  const destination = getLogDestination();
  const logger = pino(
    { base: { ...options.bindings }, timestamp: pino.stdTimeFunctions.isoTime },
    destination,
  );
  const counts = new Map<string, MessageCount>();
  let isSummaryScheduled = false;

  /**
   * Logs how many lines were left out since the last summary; logs nothing when none were. Runs one
   * second after the first line since then.
   */
  function logSummary(): void {
    isSummaryScheduled = false;
    const suppressed = Object.fromEntries(
      [...counts].flatMap(([message, count]) =>
        count.suppressed > 0 ? [[message, count.suppressed]] : [],
      ),
    );
    counts.clear();
    const dropped = destination.takeDropped();
    if (dropped > 0 || Object.keys(suppressed).length > 0) {
      logger.warn({ suppressed, dropped }, 'lines left out');
    }
  }

  function isWithinRate(message: string): boolean {
    const count = counts.get(message) ?? { written: 0, suppressed: 0 };
    counts.set(message, count);
    if (!isSummaryScheduled) {
      isSummaryScheduled = true;
      clock.after(MILLISECONDS_PER_SECOND, logSummary);
    }
    if (count.written >= linesPerSecond) {
      count.suppressed += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  function write(
    level: 'debug' | 'info' | 'warn' | 'error',
    fields: object,
    message: string,
  ): void {
    if (isWithinRate(message)) {
      logger[level](fields, message);
    }
  }

  return {
    debug: (fields, message) => write('debug', fields, message),
    info: (fields, message) => write('info', fields, message),
    warn: (fields, message) => write('warn', fields, message),
    error: (fields, message) => write('error', fields, message),
    flush() {
      logSummary();
      destination.flush();
    },
  };
}
