import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { describe, it } from 'node:test';
import { performance } from 'node:perf_hooks';
import { expect } from 'earl';
import { Pool } from 'undici';
import createTrackedConnector from './createTrackedConnector';

const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const CHUNKS = 60_000;
const LAST_CHUNK = '0\r\n\r\n';
/** Milliseconds that handling a chunk takes; a piece then takes longer than a turn. */
const WORK = 0.02;
/** Chunks of one byte in two pieces of 16 KiB. */
const MAXIMUM_CHUNKS_PER_TURN = 6_000;

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function work(): void {
  const until = performance.now() + WORK;
  while (performance.now() < until) {
    // Handles the byte.
  }
}

// Guards against a server that holds the host by what it sends, so that nobody else is answered.
describe('createTrackedConnector', () => {
  it('lets others have their turn while a server sends chunks of one byte', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(HEAD + '1\r\nx\r\n'.repeat(CHUNKS) + LAST_CHUNK));
    });
    const pool = new Pool(await listen(server), {
      pipelining: 1,
      connect: createTrackedConnector({ timeout: 1_000 }).connect,
    });
    let chunks = 0;
    let mostInTurn = 0;
    await new Promise<void>((resolve, reject) => {
      let isDone = false;
      let before = 0;
      const takeTurn = (): void => {
        mostInTurn = Math.max(mostInTurn, chunks - before);
        before = chunks;
        if (!isDone) {
          setImmediate(takeTurn);
        }
      };
      takeTurn();
      pool.dispatch(
        { method: 'GET', path: '/' },
        {
          onRequestStart: () => undefined,
          onResponseStart: () => undefined,
          onResponseData(_, chunk) {
            chunks += chunk.length;
            work();
          },
          onResponseEnd() {
            isDone = true;
            resolve();
          },
          onResponseError(_, error) {
            isDone = true;
            reject(error);
          },
        },
      );
    });
    await pool.close();
    server.close();
    expect(chunks).toEqual(CHUNKS);
    expect(mostInTurn).toBeLessThan(MAXIMUM_CHUNKS_PER_TURN);
  });
});
