import pino from 'pino';
import type { BoundedLogger, BoundedLoggerOptions } from './types';

/** Bytes buffered for a slow reader before further lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
/**
 * Bytes buffered before lines are written, which saves system calls. A periodic flush writes them
 * at the latest after one interval.
 */
const MINIMUM_WRITE_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 200;
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
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: MINIMUM_WRITE_BYTES,
    maxLength: MAXIMUM_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  const logger = pino(
    { base: { ...options.bindings }, timestamp: pino.stdTimeFunctions.isoTime },
    destination,
  );
  const counts = new Map<string, MessageCount>();
  let dropped = 0;
  let isSummaryScheduled = false;
  destination.on('drop', () => {
    dropped += 1;
  });

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
    if (dropped > 0 || Object.keys(suppressed).length > 0) {
      logger.warn({ suppressed, dropped }, 'lines left out');
      dropped = 0;
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
      destination.flushSync();
    },
  };
}
