import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

/** Below the ephemeral ports, which any outgoing connection may take before the caller listens. */
const FIRST_PORT = 10_000;
const END_PORT = 18_000;

function tryListen(): Promise<{ readonly server: Server; readonly port: number } | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    const port = randomInt(FIRST_PORT, END_PORT);
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve({ server, port }));
  });
}

/** Finds loopback ports that are free at the time of the call. */
export default async function findFreePorts(count: number): Promise<readonly number[]> {
  const found: { readonly server: Server; readonly port: number }[] = [];
  while (found.length < count) {
    const next = await tryListen();
    if (next !== undefined) {
      found.push(next);
    }
  }
  await Promise.all(
    found.map(
      ({ server }) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return found.map(({ port }) => port);
}
