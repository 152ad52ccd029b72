import type { ErrorRecorder } from '@rattanreel/observability';

/**
 * Keeps the process running after an exception that nothing caught. It ends the handling of one
 * event; to end the process would cut off every request in flight on this host, also those that
 * backend servers run and that must not be sent twice.
 */
export default function catchUnexpectedErrors(record: ErrorRecorder): void {
  process.on('uncaughtException', (error) => record('uncaughtException', error));
  process.on('unhandledRejection', (error) => record('unhandledRejection', error));
}
