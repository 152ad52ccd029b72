import { write as writeAsynchronously, writeSync } from 'node:fs';
import type { LogDestination, LogDestinationOptions } from './types';

/** Bytes buffered for a slow reader before further lines are dropped. */
const DEFAULT_MAXIMUM_BYTES = 1_048_576;
/** Bytes buffered before lines are written at once, which saves system calls. */
const DEFAULT_MINIMUM_BYTES = 4_096;
/** Longest time for which lines are buffered, and the time between two tries after an error. */
const DEFAULT_INTERVAL_MS = 200;
/** Time between two tries while a reader does not read. */
const DEFAULT_RETRY_INTERVAL_MS = 20;
/** Time for which all flushes together wait for such a reader. */
const DEFAULT_FLUSH_TIMEOUT_MS = 250;

function sleepSync(duration: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, duration);
}

function isReaderSlow(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EAGAIN';
}

/**
 * Creates a destination for lines on standard output that never blocks, throws or emits errors: what a
 * reader does not take is buffered, further lines are dropped and counted. A write that failed (the
 * reader has gone, the disk is full) is tried again, so that the log goes on once the cause is gone.
 *
 * `flushSync` of sonic-boom repeats a failed write forever, and its write of a pipe whose reader has
 * stopped keeps a thread of the pool for which the exit of the process waits.
 */
export default function createLogDestination(options: LogDestinationOptions = {}): LogDestination {
  const {
    maximumBytes = DEFAULT_MAXIMUM_BYTES,
    minimumBytes = DEFAULT_MINIMUM_BYTES,
    interval = DEFAULT_INTERVAL_MS,
    retryInterval = DEFAULT_RETRY_INTERVAL_MS,
    flushTimeout = DEFAULT_FLUSH_TIMEOUT_MS,
  } = options;
  // Opening the stream makes a pipe non-blocking.
  const { fd } = process.stdout;
  let lines: string[] = [];
  let lineBytes = 0;
  /** What is being written or is to be written first. */
  let chunk = Buffer.alloc(0);
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let dropped = 0;
  let flushTime = flushTimeout;

  function takeLines(): void {
    if (chunk.length === 0) {
      chunk = Buffer.from(lines.join(''));
      lines = [];
      lineBytes = 0;
    }
  }

  function startTimer(duration: number): void {
    timer ??= setTimeout(() => {
      timer = undefined;
      startWrite();
    }, duration).unref();
  }

  function startWrite(): void {
    takeLines();
    if (isWriting || chunk.length === 0) {
      return;
    }
    isWriting = true;
    const current = chunk;
    writeAsynchronously(fd, current, (error, written) => {
      isWriting = false;
      if (error !== null) {
        startTimer(isReaderSlow(error) ? retryInterval : interval);
        return;
      }
      // A flush leaves the chunk to this write.
      if (chunk === current) {
        chunk = chunk.subarray(written);
      }
      if (chunk.length > 0 || lineBytes >= minimumBytes) {
        startWrite();
      } else if (lineBytes > 0) {
        startTimer(interval);
      }
    });
  }

  return {
    write(line) {
      const bytes = Buffer.byteLength(line);
      if (chunk.length + lineBytes + bytes > maximumBytes) {
        dropped += 1;
        return false;
      }
      lines.push(line);
      lineBytes += bytes;
      if (lineBytes >= minimumBytes && chunk.length === 0) {
        startWrite();
      } else {
        startTimer(interval);
      }
      return true;
    },
    takeDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
    flush() {
      if (isWriting) {
        chunk = Buffer.alloc(0);
      }
      for (takeLines(); chunk.length > 0; takeLines()) {
        try {
          chunk = chunk.subarray(writeSync(fd, chunk));
        } catch (error) {
          if (!isReaderSlow(error) || flushTime <= 0) {
            return;
          }
          sleepSync(retryInterval);
          flushTime -= retryInterval;
        }
      }
    },
  };
}
