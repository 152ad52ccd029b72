import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import createEngineClient from './createEngineClient';
import createServiceClient from './createServiceClient';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
const WITH_LENGTH = `${HEAD}content-length: 6\r\n\r\nbooked`;
const EVENT = `id: 1\ndata: ${'x'.repeat(60_000)}\n\n`;
/** More than fits into the buffers between the server and a reader that is slow. */
const EVENTS = 8;
/** Time for which a slow reader takes no events. */
const PAUSE = 100;

type End = 'close' | 'reset';

interface ServiceCase {
  readonly response: string;
  readonly end: End;
  readonly kind: 'ok' | 'error';
}

const serviceCases: readonly ServiceCase[] = [
  { response: `${HEAD}\r\nbooked`, end: 'close', kind: 'ok' },
  { response: `${HEAD}\r\nbook`, end: 'reset', kind: 'error' },
  { response: `${HEAD}\r\n`, end: 'reset', kind: 'error' },
  { response: WITH_LENGTH, end: 'reset', kind: 'ok' },
];

function endConnection(socket: Socket, end: End): void {
  if (end === 'close') {
    socket.end();
  } else {
    socket.resetAndDestroy();
  }
}

// Guards against a response that its server broke off and that passes as whole.
describe('broken responses of backend servers', () => {
  let server: Server | undefined;

  afterEach(() => server?.close());

  /** Starts a server that writes a response and ends its connection; returns its URL. */
  async function start(response: string, end: End): Promise<string> {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(response, () => endConnection(socket, end)));
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  serviceCases.forEach(({ response, end, kind }) => {
    [false, true].forEach((dedicatedConnection) => {
      const connection = dedicatedConnection ? 'a connection of its own' : 'a pooled connection';
      it(`returns ${kind} for ${JSON.stringify(response)} and a ${end} on ${connection}`, async () => {
        const address = await start(response, end);
        const client = createServiceClient();
        const outcome = await client.call({
          address,
          method: 'POST',
          path: '/orders',
          headers: {},
          body: '{}',
          timeout: 1_000,
          dedicatedConnection,
          signal: new AbortController().signal,
        });
        await client.close();
        expect(outcome.kind).toEqual(kind);
      });
    });
  });

  // Guards against a stream that ends while its reader is slow, which ended the process.
  (['close', 'reset'] as const).forEach((end) => {
    it(`ends a stream that is ended by a ${end} while its reader is slow`, async () => {
      const address = await start(`${HEAD}\r\n${EVENT.repeat(EVENTS)}`, end);
      const client = createEngineClient();
      const opened = await client.openStream({
        address,
        request: 'r1',
        body: '{}',
        headersTimeout: 1_000,
        idleTimeout: 1_000,
        signal: new AbortController().signal,
      });
      let events = 0;
      const read = async (): Promise<string> => {
        for await (const batch of opened.kind === 'ok' ? opened.value : []) {
          events += batch.length;
          await sleep(PAUSE);
        }
        return 'close';
      };
      expect(await read().catch(() => 'reset')).toEqual(end);
      expect(events).toEqual(end === 'close' ? EVENTS : expect.a(Number));
      await client.close();
    });
  });
});
