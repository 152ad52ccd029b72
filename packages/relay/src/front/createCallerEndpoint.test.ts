import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Readable } from 'node:stream';
import { expect } from 'earl';
import { Client } from 'undici';
import { createCallerMemory } from '@rattanreel/connections';
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
        onNoMemory: () => undefined,
      });
      await endpoint.listen(`127.0.0.1:${PORT}`);
      expect(await call(request)).toMatchRegex(read);
    });
  });
});

const LARGE = 100_000;
const BUDGET = 400_000;

interface BodyCase {
  readonly name: string;
  /** Bytes of bodies that other requests hold. */
  readonly held: number;
  readonly bytes: number;
  readonly isChunked?: boolean;
  readonly status: 200 | 503;
}

const bodyCases: readonly BodyCase[] = [
  { name: 'a large body', held: 0, bytes: LARGE, status: 200 },
  { name: 'a large body up to the share of large ones', held: 200_000, bytes: LARGE, status: 200 },
  { name: 'a large body beyond that share', held: 200_001, bytes: LARGE, status: 503 },
  { name: 'a small body beyond that share', held: 300_000, bytes: 65_536, status: 200 },
  { name: 'a small body beyond the budget', held: 399_000, bytes: 1_001, status: 503 },
  { name: 'no body beyond the budget', held: 400_000, bytes: 0, status: 200 },
  { name: 'chunks', held: 0, bytes: LARGE, isChunked: true, status: 200 },
  { name: 'chunks beyond the share', held: 250_000, bytes: LARGE, isChunked: true, status: 503 },
];

// Guards against bodies within the configured limit that together exceed the memory of the host.
describe('the memory of bodies', () => {
  bodyCases.forEach(({ name, held, bytes, isChunked = false, status }) => {
    it(`answers ${name} with ${status}, and the next request on the connection`, async () => {
      const memory = createCallerMemory({ clock: createSystemClock(), bytes: BUDGET });
      // In pieces of small bodies, which may use all of the budget.
      for (let rest = held; rest > 0; rest -= 50_000) {
        expect(memory.reserve().tryGrow(Math.min(rest, 50_000))).toEqual(true);
      }
      const bodies: number[] = [];
      const answer = (exchange: CallerExchange, code: number): void => {
        bodies.push(exchange.body.length);
        exchange.sendHead(code, ['content-length', '0']);
        exchange.finish();
      };
      const endpoint = createCallerEndpoint({
        clock: createSystemClock(),
        getLimits: () => ({ ...LIMITS, bodyBytes: LARGE }),
        onRequest: (exchange) => answer(exchange, 200),
        onTooLarge: (exchange) => answer(exchange, 413),
        onNoMemory: (exchange) => answer(exchange, 503),
        memory,
      });
      await endpoint.listen(`127.0.0.1:${PORT}`);
      const client = new Client(`http://127.0.0.1:${PORT}`);
      const body = Buffer.alloc(bytes, 'x');
      const send = async (sent: Buffer | Readable): Promise<number> => {
        const response = await client.request({ method: 'POST', path: '/', body: sent });
        await response.body.dump();
        return response.statusCode;
      };
      const first = await send(
        isChunked ? Readable.from([body.subarray(0, 9), body.subarray(9)]) : body,
      );
      const next = await send(Buffer.alloc(0));
      await client.close();
      endpoint.close();
      expect([first, next]).toEqual([status, 200]);
      expect(bodies).toEqual([status === 200 ? bytes : 0, 0]);
      expect(memory.getUsed()).toEqual(held);
    });
  });
});
