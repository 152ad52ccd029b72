import { createServer } from 'node:net';

/** Ports of runs: above those of the tests, below those that the system gives to outgoing connections. */
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

/** First port of `count` in a row that no process listens on, looked for from a place that `seed` gives. */
export default async function findFreePorts(seed: number, count: number): Promise<number> {
  const blocks = Math.floor((END_PORT - FIRST_PORT) / count);
  for (let tried = 0; tried < blocks; tried += 1) {
    const first = FIRST_PORT + ((seed + tried) % blocks) * count;
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return first;
    }
  }
  throw new Error(`no ${count} free ports in a row from ${FIRST_PORT} to ${END_PORT}`);
}
