/** Returns the name of the host that a request asks for, without a port. */
export default function getHostName(host: string | undefined): string {
  return (host ?? '').toLowerCase().replace(/:\d+$/, '');
}
