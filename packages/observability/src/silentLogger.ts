import type { Logger } from './types';

/** Logger that writes nothing, for tests. */
const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

export default silentLogger;
