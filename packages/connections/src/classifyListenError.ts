import type { ListenError } from './types';

/** Errors that end when another process exits or frees resources, or a network interface comes up. */
const TEMPORARY_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAI_AGAIN',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Errors of an address that cannot exist. */
const ADDRESS_CODES: ReadonlySet<string> = new Set([
  'EAFNOSUPPORT',
  'EINVAL',
  'ENOTFOUND',
  'ERR_INVALID_ARG_VALUE',
  'ERR_SOCKET_BAD_PORT',
]);

/** Tells an error after which listening is tried again from those that need an operator. */
export default function classifyListenError(
  code: string,
): 'temporary' | Exclude<ListenError['kind'], 'stopped'> {
  if (TEMPORARY_CODES.has(code)) {
    return 'temporary';
  }
  return ADDRESS_CODES.has(code) ? 'invalidAddress' : 'addressRefused';
}
