import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createStopDeadline from '../lateness/createStopDeadline';
import findFreePort from '../testing/findFreePort';
import createCallerEndpoint from './createCallerEndpoint';
import drainCallerEndpoint from './drainCallerEndpoint';
import type { CallerEndpoint, CallerExchange } from './types';

const LIMITS = { headerBytes: 16_384, bodyBytes: 64, headerTimeout: 3_000, idleTimeout: 9_000 };
const SHORT_IDLE_TIMEOUT_MS = 300;
/** Node.js keeps a connection for a second longer than its limit. */
const LONG_PAUSE_MS = 2_000;
const LARGE_BYTES = 24_000_000;
const WORK_DURATION_MS = 80;

/** Answers by the path: the status, the framing and the time follow from its first part. */
type Handling = 'plain' | 'closed' | 'aborted';

function createRequest(target: string): string {
  return `GET ${target} HTTP/1.1\r\nhost: h\r\n\r\n`;
}

describe('kept connections of a host, over real sockets', () => {
  let endpoint: CallerEndpoint;
  let limits = LIMITS;
  let handled: string[];
  let port: number;
  const sockets: Socket[] = [];

  function respond(exchange: CallerExchange): void {
    handled.push(exchange.target);
    const handling = exchange.target.split('/')[1] as Handling;
    setTimeout(() => {
      switch (handling) {
        case 'plain':
          exchange.sendHead(200, ['content-length', '2']);
          exchange.sendData(Buffer.from('ok'));
          exchange.finish();
          return;
        case 'closed':
          exchange.sendHead(200, [], true);
          exchange.sendData(Buffer.from('ok'));
          exchange.finish();
          return;
        case 'aborted':
          exchange.sendHead(200, []);
          exchange.sendData(Buffer.from('part'));
          setTimeout(exchange.abort, WORK_DURATION_MS);
          return;
        default:
          handling satisfies never;
      }
    }, WORK_DURATION_MS);
  }

  async function start(onRequest: (exchange: CallerExchange) => void = respond): Promise<void> {
    handled = [];
    limits = LIMITS;
    port = await findFreePort();
    endpoint = createCallerEndpoint({
      clock: createSystemClock(),
      getLimits: () => limits,
      onRequest,
      onTooLarge(exchange) {
        exchange.sendHead(413, ['content-length', '0']);
        exchange.finish();
      },
      onNoMemory: () => undefined,
    });
    await endpoint.listen(`127.0.0.1:${port}`);
  }

  function open(): Socket {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  }

  /** Reads until the connection closes, or for the given time. */
  function read(socket: Socket, duration: number): Promise<string> {
    return new Promise((resolve) => {
      let text = '';
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString('latin1');
      });
      const timer = setTimeout(() => resolve(text), duration);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(text);
      });
    });
  }

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    endpoint.close();
  });

  interface PipelineCase {
    readonly name: string;
    readonly requests: readonly string[];
    readonly isDraining: boolean;
    /** Targets that must be passed on. */
    readonly handled: readonly string[];
    readonly statuses: readonly string[];
  }
  const cases: readonly PipelineCase[] = [
    {
      name: 'all while the host stops',
      requests: ['/plain/1', '/plain/2', '/plain/3'].map(createRequest),
      isDraining: true,
      handled: ['/plain/1', '/plain/2', '/plain/3'],
      statuses: ['200', '200', '200'],
    },
    {
      name: 'none after a response that ends with its connection',
      requests: ['/plain/1', '/closed/2', '/plain/3'].map(createRequest),
      isDraining: false,
      handled: ['/plain/1', '/closed/2'],
      statuses: ['200', '200'],
    },
    {
      name: 'none after a response that is broken off',
      requests: ['/aborted/1', '/plain/2'].map(createRequest),
      isDraining: false,
      handled: ['/aborted/1'],
      statuses: ['200'],
    },
    {
      name: 'none after a body over the limit',
      requests: [
        createRequest('/plain/1'),
        `POST /plain/2 HTTP/1.1\r\nhost: h\r\ncontent-length: 65\r\n\r\n${'x'.repeat(65)}`,
        createRequest('/plain/3'),
      ],
      isDraining: false,
      handled: ['/plain/1'],
      statuses: ['200', '413'],
    },
  ];
  cases.forEach(({ name, requests, isDraining, ...expected }) => {
    // Guards against running a pipelined request whose connection closes with an earlier response.
    it(`passes on, of pipelined requests, ${name}`, async () => {
      await start();
      if (isDraining) {
        endpoint.startDraining();
      }
      const socket = open();
      const text = read(socket, 1_000);
      socket.write(requests.join(''));
      const statuses = [...(await text).matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
      expect({ handled, statuses }).toEqual(expected as { handled: string[]; statuses: string[] });
      await sleep(WORK_DURATION_MS * 3);
      expect(endpoint.countActive()).toEqual(0);
    });
  });

  const limitCases = [
    { name: 'that has been told the old one', isToldBefore: true, isClosed: false },
    { name: 'that is told the new one', isToldBefore: false, isClosed: true },
  ];
  limitCases.forEach(({ name, isToldBefore, isClosed }) => {
    // Guards against closing a connection before the time in its `Keep-Alive` header, once a shorter
    // limit has come into force.
    it(`applies a new idle limit to a connection ${name}: ${isClosed}`, async () => {
      await start();
      const socket = open();
      const text = read(socket, LONG_PAUSE_MS * 2);
      if (isToldBefore) {
        socket.write(createRequest('/plain/1'));
        await sleep(WORK_DURATION_MS / 2);
      }
      limits = { ...LIMITS, idleTimeout: SHORT_IDLE_TIMEOUT_MS };
      endpoint.applyLimits();
      if (!isToldBefore) {
        socket.write(createRequest('/plain/1'));
      }
      await sleep(LONG_PAUSE_MS);
      socket.write(createRequest('/plain/2'));
      const statuses = [...(await text).matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
      expect(statuses).toEqual(isClosed ? ['200'] : ['200', '200']);
    });
  });

  // Guards against closing, as idle, the connection of a slow reader before all of its response is
  // sent.
  it('sends all of a large response to a slow reader while it stops', async () => {
    await start((exchange) => {
      exchange.sendHead(200, ['content-length', String(LARGE_BYTES)]);
      exchange.sendData(Buffer.alloc(LARGE_BYTES, 'x'));
      exchange.finish();
    });
    const socket = open();
    socket.pause();
    socket.write(createRequest('/'));
    await sleep(200);
    const stopped = drainCallerEndpoint({
      clock: createSystemClock(),
      logger: silentLogger,
      endpoint,
      stopDeadline: createStopDeadline(),
      gracePeriod: 5_000,
    });
    await sleep(3_000);
    const text = read(socket, 1_500);
    socket.resume();
    expect((await text).length).toBeGreaterThan(LARGE_BYTES);
    await stopped;
  });
});
