import type { ErrorRecorder, ErrorRecorderOptions } from './types';

/** Creates the function that logs and counts exceptions after which the host goes on. */
export default function createErrorRecorder(options: ErrorRecorderOptions): ErrorRecorder {
  return (origin, error) => {
    options.countError(origin);
    const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
    options.logger.error({ origin, error: cause }, 'unexpected error');
  };
}
