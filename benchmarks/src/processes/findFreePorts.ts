import { createServer } from 'node:net';

/** Port range of runs: above the ports of the tests and below the system's ephemeral ports. */
const FIRST_PORT = 22_000;
const END_PORT = 32_000;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return isListening;
}

/**
 * Returns the first of `count` consecutive free ports; `seed` selects where the search begins.
 * Throws if there are none.
 */
export default async function findFreePorts(seed: number, count: number): Promise<number> {
  const blocks = Math.floor((END_PORT - FIRST_PORT) / count);
  for (let attempt = 0; attempt < blocks; attempt += 1) {
    const first = FIRST_PORT + ((seed + attempt) % blocks) * count;
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return first;
    }
  }
  throw new Error(`no ${count} free ports in a row from ${FIRST_PORT} to ${END_PORT}`);
}
