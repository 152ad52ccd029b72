import { parseAddress } from '@rattanreel/core';

/** Returns whether a `host:port` address can be reached from its own machine only. */
export default function isLoopbackAddress(address: string): boolean {
  const parsed = parseAddress(address);
  return parsed.kind === 'address' && (parsed.host === '::1' || parsed.host.startsWith('127.'));
}
