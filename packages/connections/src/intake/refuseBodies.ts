import type { RequestListener } from 'node:http';

const HTTP_TOO_LARGE = 413;

/** Returns a listener for an endpoint whose requests have no body; it refuses those that have one. */
export default function refuseBodies(listener: RequestListener): RequestListener {
  return (incoming, outgoing) => {
    const { headers } = incoming;
    const hasBody =
      headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
    if (hasBody) {
      outgoing.shouldKeepAlive = false;
      outgoing.writeHead(HTTP_TOO_LARGE, { 'content-length': 0 }).end();
    } else {
      listener(incoming, outgoing);
    }
  };
}
