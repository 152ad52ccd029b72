import pino from 'pino';
import type { Logger } from './types';

/** Creates a structured log on standard output. Every line contains `bindings`. */
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
