import pino from 'pino';
import type { Logger } from './types';

/** A structured log on standard output; `bindings` are in every line. */
export default function createLogger(
  level: 'debug' | 'info' | 'warn' | 'error' | 'silent',
  bindings: object = {},
): Logger {
  return pino({
    level,
    base: { ...bindings },
    timestamp: pino.stdTimeFunctions.isoTime,
    redact: ['authorization', 'headers.authorization', 'apiKey', 'token', 'body', 'messages'],
  });
}
