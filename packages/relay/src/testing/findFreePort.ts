import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Finds a loopback port that is free at the time of the call. */
export default function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
