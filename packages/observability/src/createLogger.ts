import pino from 'pino';
import getLogDestination from './getLogDestination';
import type { Logger } from './types';

/**
 * Creates a structured log on standard output. Every line contains `bindings`. Lines that a slow
 * reader left no room for are dropped, and reported in one line.
 */
export default function createLogger(
  level: 'debug' | 'info' | 'warn' | 'error' | 'silent',
  bindings: object = {},
): Logger {
  const destination = getLogDestination();
  const logger = pino(
    {
      level,
      base: { ...bindings },
      timestamp: pino.stdTimeFunctions.isoTime,
      redact: ['authorization', 'headers.authorization', 'apiKey', 'token', 'body', 'messages'],
    },
    {
      write(line) {
        const dropped = destination.write(line) ? destination.takeDropped() : 0;
        if (dropped > 0) {
          logger.warn({ suppressed: {}, dropped }, 'lines left out');
        }
      },
    },
  );
  return logger;
}
