import createLogDestination from './createLogDestination';
import type { LogDestination } from './types';

let destination: LogDestination | undefined;

/**
 * Returns the destination of this process on standard output. All loggers share it, so that their
 * lines keep their order; what is buffered is written when the process exits.
 */
export default function getLogDestination(): LogDestination {
  if (destination === undefined) {
    destination = createLogDestination();
    process.once('exit', destination.flush);
  }
  return destination;
}
