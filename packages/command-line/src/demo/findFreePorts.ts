import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

function listen(): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

/** Finds loopback ports that are free at the time of the call. */
export default async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}
