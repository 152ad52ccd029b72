/** Splits HOST:PORT into its parts; the host of an IPv6 address is in brackets. */
export default function splitListenAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const at = address.lastIndexOf(':');
  const port = at < 1 ? '' : address.slice(at + 1);
  return {
    host: address.slice(0, Math.max(at, 0)).replace(/^\[(.*)\]$/, '$1'),
    // No port is a number that no server accepts; an empty one would mean any port.
    port: port === '' ? NaN : Number(port),
  };
}
