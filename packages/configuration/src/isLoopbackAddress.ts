import parseAddress from './parseAddress';

/** Whether `host:port` can be reached from its own machine only. */
export default function isLoopbackAddress(address: string): boolean {
  const parsed = parseAddress(address);
  return parsed.kind === 'address' && (parsed.host === '::1' || parsed.host.startsWith('127.'));
}
