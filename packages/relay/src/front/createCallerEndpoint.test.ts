import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import createCallerEndpoint from './createCallerEndpoint';
import type { CallerExchange, CallerEndpoint } from './types';

const PORT = 18_391;
const LIMITS = { headerBytes: 16_384, bodyBytes: 64, headerTimeout: 3_000, idleTimeout: 5_000 };

interface Case {
  readonly name: string;
  readonly request: string;
  readonly respond: (exchange: CallerExchange) => void;
  /** What the caller must read until the connection closes or 200 ms have passed. */
  readonly read: RegExp;
}

const cases: readonly Case[] = [
  {
    name: 'a response with a content length',
    request: 'GET /a/b?c=%20d HTTP/1.1\r\nhost: h\r\n\r\n',
    respond(exchange) {
      exchange.sendHead(200, ['content-length', '2', 'x-target', exchange.target]);
      exchange.sendData(Buffer.from('ok'));
      exchange.finish();
    },
    read: /^HTTP\/1\.1 200 OK\r\ncontent-length: 2\r\nx-target: \/a\/b\?c=%20d\r\n[^]*\r\n\r\nok$/,
  },
  {
    name: 'a response that is delimited by the close of its connection',
    request: 'GET / HTTP/1.1\r\nhost: h\r\n\r\n',
    respond(exchange) {
      exchange.sendHead(200, [], true);
      exchange.sendData(Buffer.from('ok'));
      exchange.finish();
    },
    read: /^HTTP\/1\.1 200 OK\r\nConnection: close\r\n\r\nok$/,
  },
  {
    name: 'a chunked request body',
    request: 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
    respond(exchange) {
      exchange.sendHead(200, ['content-length', '2']);
      exchange.sendData(exchange.body);
      exchange.finish();
    },
    read: /\r\n\r\nab$/,
  },
  {
    name: 'a request body over the limit',
    request: `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 65\r\n\r\n${'x'.repeat(65)}`,
    respond: () => undefined,
    read: /^HTTP\/1\.1 413 [^]*[Cc]onnection: close/,
  },
  {
    name: 'a response that is aborted after its first part',
    request: 'GET / HTTP/1.1\r\nhost: h\r\n\r\n',
    respond(exchange) {
      exchange.sendHead(200, []);
      exchange.sendData(Buffer.from('part'));
      setTimeout(() => exchange.abort(), 20);
    },
    read: /\r\n4\r\npart\r\n$/,
  },
];

function call(request: string): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket: Socket = connect(PORT, '127.0.0.1', () => socket.write(request));
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
    });
    const closeTimer = setTimeout(() => socket.destroy(), 200);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(closeTimer);
      resolve(text);
    });
  });
}

describe('createCallerEndpoint', () => {
  let endpoint: CallerEndpoint | undefined;

  afterEach(() => endpoint?.close());

  cases.forEach(({ name, request, respond, read }) => {
    it(`handles ${name}`, async () => {
      endpoint = createCallerEndpoint({
        clock: createSystemClock(),
        getLimits: () => LIMITS,
        onRequest: respond,
        onTooLarge(exchange) {
          exchange.sendHead(413, ['content-length', '0']);
          exchange.finish();
        },
      });
      await endpoint.listen(`127.0.0.1:${PORT}`);
      expect(await call(request)).toMatchRegex(read);
    });
  });
});
