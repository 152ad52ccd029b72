import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import createServiceClient from './createServiceClient';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
const WITH_LENGTH = `${HEAD}content-length: 6\r\n\r\nbooked`;

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
});
