/**
 * Returns whether a `host:port` address names the loopback interface. Port 0, for any free port, is
 * allowed here.
 */
export default function isLoopbackAddress(address: string): boolean {
  const host = address.slice(0, address.lastIndexOf(':')).replace(/^\[|\]$/g, '');
  return host === 'localhost' || host === '::1' || /^127\.\d+\.\d+\.\d+$/.test(host);
}
