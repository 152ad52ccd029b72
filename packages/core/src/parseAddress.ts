import { isIP } from 'node:net';
import type { ParsedAddress } from './types';

const LAST_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([^\]%]+)\]|([^:%]+)):(\d{1,9})$/;

/**
 * Parses `host:port`. The host must be an IP address, in brackets for IPv6; an IPv6 zone is not
 * allowed, since URLs have none.
 */
export default function parseAddress(text: string): ParsedAddress {
  const matched = ADDRESS_PATTERN.exec(text);
  const host = matched?.[1] ?? matched?.[2];
  if (matched === null || host === undefined) {
    return { kind: 'invalidAddress' };
  }
  const family = isIP(host);
  const bracketed = matched[1] !== undefined;
  if (family === 0 || bracketed !== (family === 6)) {
    return { kind: 'invalidAddress' };
  }
  const port = Number(matched[3]);
  return port >= 1 && port <= LAST_PORT ? { kind: 'address', host, port } : { kind: 'invalidPort' };
}
