import { createServer } from 'node:net';
import type { Milliseconds } from '@rattanreel/core';

/** Listens on a port for `duration`, and closes every connection to it; resolves once it listens. */
export default async function holdPort(port: number, duration: Milliseconds): Promise<void> {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    // A fault that overlaps has started a process that holds the port itself.
    server.once('error', () => resolve());
    server.listen(port, '127.0.0.1', resolve);
  });
  setTimeout(() => server.close(), duration);
}
