import { errors } from 'undici';
import type { BackendServerError } from './types';

/** Codes of failed connection attempts: no byte of the request has been written. */
const NOT_CONNECTED_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** System calls before the first byte of a request. */
const CONNECT_CALLS: readonly unknown[] = ['connect', 'getaddrinfo'];

function isConnectError(error: unknown): boolean {
  return error instanceof Error && 'syscall' in error && CONNECT_CALLS.includes(error.syscall);
}

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/**
 * Converts an exception of the HTTP client to an error that says how far the request got. An
 * unknown exception counts as `interrupted`: bytes of the request may have been written.
 */
export default function toBackendServerError(error: unknown): BackendServerError {
  const code = getErrorCode(error);
  const detail = error instanceof Error ? error.message : String(error);
  if (NOT_CONNECTED_CODES.includes(code) || isConnectError(error)) {
    return { kind: 'notConnected', detail };
  }
  if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
    return { kind: 'silent' };
  }
  if (error instanceof Error && error.name === 'AbortError') {
    return { kind: 'aborted' };
  }
  return { kind: 'interrupted', detail };
}
