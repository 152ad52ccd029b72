import type { ErrorRecorder } from '@rattanreel/observability';

/**
 * Keeps the process running after an uncaught exception, which aborts the handling of one event. An
 * exit would cut off every request in flight on this host, including those that must not be retried.
 */
export default function catchUnexpectedErrors(record: ErrorRecorder): void {
  process.on('uncaughtException', (error) => record('uncaughtException', error));
  process.on('unhandledRejection', (error) => record('unhandledRejection', error));
}
