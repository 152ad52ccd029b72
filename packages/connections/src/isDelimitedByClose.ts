import type { IncomingHttpHeaders } from 'node:http';

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether a response ends only when its connection is closed (RFC 9112, section 6.3). */
export default function isDelimitedByClose(
  status: number,
  headers: Pick<IncomingHttpHeaders, 'content-length' | 'transfer-encoding'>,
): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined &&
    !BODILESS_STATUSES.has(status)
  );
}
