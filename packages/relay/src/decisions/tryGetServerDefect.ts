import { isReadableName, parseAddress } from '@rattanreel/core';
import type { ListedServer, ServerDefect } from '../types';

/** Connections that one host can open to one address, since each has a port of its own. */
const MAXIMUM_SLOTS = 65_535;
/** Characters of a header value that neither end removes (RFC 9110, section 5.5). */
const HEADER_TOKEN = /^[\x21-\x7e]+$/;

/**
 * Returns why an entry of the platform's list names no backend server to which a request could be
 * sent; undefined if it names one. Any writer can put an entry into the list, and peers of another
 * version may pass one on.
 */
export default function tryGetServerDefect(server: ListedServer): ServerDefect | undefined {
  if (!isReadableName(server.id) || !HEADER_TOKEN.test(server.id)) {
    return 'identifier';
  }
  if (parseAddress(server.address).kind !== 'address') {
    return 'address';
  }
  if (![server.pool, server.failureDomain, server.version].every(isReadableName)) {
    return 'name';
  }
  return server.slots <= MAXIMUM_SLOTS ? undefined : 'slots';
}
