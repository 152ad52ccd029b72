import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import createLoopDelay from '../lateness/createLoopDelay';
import type { AttemptOutcome, ListedServer } from '../types';
import createServerConnections from './createServerConnections';
import type { ServerConnections } from './types';

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';

const LARGE_BODY = Buffer.alloc(2_000_000, 'x');
/** Time for which a slow caller reads nothing. */
const PAUSE = 150;
const PAUSES = 3;

interface Case {
  readonly name: string;
  /** Responds to the request as the backend server. */
  readonly respond: (socket: Socket) => void;
  readonly kind: AttemptOutcome['kind'];
}

/** Writes a response, and ends it once its last byte is written. */
function writeAndEnd(
  bytes: string | Buffer,
  end: 'close' | 'reset' | 'resetLater',
): (socket: Socket) => void {
  return (socket) =>
    socket.write(bytes, () => {
      switch (end) {
        case 'close':
          socket.end();
          return;
        case 'reset':
          socket.resetAndDestroy();
          return;
        case 'resetLater':
          setTimeout(() => socket.resetAndDestroy(), 20);
          return;
        default:
          end satisfies never;
      }
    });
}

const UNFRAMED = `${HEAD}connection: close\r\n\r\n`;
const UNFRAMED_LARGE = Buffer.concat([Buffer.from(UNFRAMED), LARGE_BODY]);
const CHUNKED = `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n`;
const WITH_LENGTH = `${HEAD}connection: close\r\ncontent-length: 2\r\n\r\nok`;

// Guards against a response without a length that was reset and passes as whole.
const endCases: readonly Case[] = [
  {
    name: 'a response without a length',
    respond: writeAndEnd(`${UNFRAMED}ok`, 'close'),
    kind: 'whole',
  },
  {
    name: 'a response without a length or body',
    respond: writeAndEnd(UNFRAMED, 'close'),
    kind: 'whole',
  },
  {
    name: 'a large response without a length',
    respond: writeAndEnd(UNFRAMED_LARGE, 'close'),
    kind: 'whole',
  },
  {
    name: 'a response without a length that is reset with its last bytes',
    respond: writeAndEnd(`${UNFRAMED}ok`, 'reset'),
    kind: 'broken',
  },
  {
    name: 'a response without a length that is reset after its head',
    respond: writeAndEnd(UNFRAMED, 'reset'),
    kind: 'broken',
  },
  {
    name: 'a response without a length that is reset later',
    respond: writeAndEnd(`${UNFRAMED}ok`, 'resetLater'),
    kind: 'broken',
  },
  {
    name: 'a large response without a length that is reset with its last bytes',
    respond: writeAndEnd(UNFRAMED_LARGE, 'reset'),
    kind: 'broken',
  },
  {
    name: 'a response whose server closes with bytes that it has not read',
    respond(socket) {
      socket.pause();
      socket.write(`${UNFRAMED}ok`, () => setTimeout(() => socket.resetAndDestroy(), 1));
    },
    kind: 'broken',
  },
  {
    name: 'a chunked response that is closed',
    respond: writeAndEnd(CHUNKED, 'close'),
    kind: 'broken',
  },
  {
    name: 'a chunked response that is reset',
    respond: writeAndEnd(CHUNKED, 'reset'),
    kind: 'broken',
  },
  {
    name: 'a whole chunked response that is reset afterwards',
    respond: writeAndEnd(`${CHUNKED}0\r\n\r\n`, 'reset'),
    kind: 'whole',
  },
  {
    name: 'a response of its full length that is reset afterwards',
    respond: writeAndEnd(WITH_LENGTH, 'reset'),
    kind: 'whole',
  },
];

const cases: readonly Case[] = [
  {
    name: 'a response of its full length',
    respond: (socket) => socket.write(`${HEAD}content-length: 2\r\n\r\nok`),
    kind: 'whole',
  },
  {
    name: 'a response without a length whose connection is closed',
    respond: (socket) => socket.end(`${HEAD}connection: close\r\n\r\nok`),
    kind: 'whole',
  },
  {
    name: 'a response without a length whose connection is reset',
    respond: (socket) =>
      socket.write(`${HEAD}connection: close\r\n\r\nok`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
    kind: 'broken',
  },
  {
    name: 'a response shorter than its length',
    respond: (socket) => socket.end(`${HEAD}content-length: 9\r\n\r\nok`),
    kind: 'broken',
  },
  {
    name: 'a response to another request',
    respond: (socket) => socket.write('HTTP/1.1 200 OK\r\nx-id: r0\r\ncontent-length: 0\r\n\r\n'),
    kind: 'broken',
  },
  {
    name: 'bytes that are not a response',
    respond: (socket) => socket.write('not an answer\r\n\r\n'),
    kind: 'broken',
  },
  {
    name: 'a full server',
    respond: (socket) =>
      socket.write('HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'),
    kind: 'notRun',
  },
];

function createListed(port: number): ListedServer {
  return {
    id: 's1',
    pool: 'pool',
    address: `127.0.0.1:${port}`,
    failureDomain: 'domain',
    version: 'v1',
    slots: 2,
    isDraining: false,
    coldFor: 0,
    startedAt: undefined,
  };
}

interface SendOptions {
  readonly port: number;
  /** Whether the caller reads nothing for a while after each of the first pieces. */
  readonly isSlow?: boolean;
  readonly connections?: ServerConnections;
}

function createConnections(): ServerConnections {
  return createServerConnections({
    loopDelay: createLoopDelay({ clock: createSystemClock() }),
  });
}

async function send(options: SendOptions): Promise<AttemptOutcome> {
  const { port, isSlow = false, connections = createConnections() } = options;
  let pauses = isSlow ? PAUSES : 0;
  const end = await new Promise<AttemptOutcome>((resolve) => {
    const attempt = connections.send(
      createListed(port),
      {
        requestId: 'r1',
        method: 'GET',
        target: '/',
        headers: ['host', 'h'],
        body: Buffer.alloc(0),
        requestIdHeader: 'x-id',
        notRunHeader: 'x-not-run',
        retryAfterHeader: 'retry-after',
      },
      {
        onHead: () => undefined,
        onData() {
          pauses -= 1;
          if (pauses >= 0) {
            setTimeout(() => attempt.resume(), PAUSE);
          }
          return pauses < 0;
        },
        onEnd: resolve,
      },
    );
  });
  if (options.connections === undefined) {
    await connections.close();
  }
  return end;
}

describe('createServerConnections', () => {
  let server: Server | undefined;

  afterEach(() => server?.close());

  /** Starts a server that responds to the first request of each connection; returns its port. */
  async function start(respond: Case['respond']): Promise<number> {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => respond(socket));
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  cases.forEach(({ name, respond, kind }) => {
    it(`ends an attempt as ${kind} for ${name}`, async () => {
      expect((await send({ port: await start(respond) })).kind).toEqual(kind);
    });
  });

  endCases.forEach(({ name, respond, kind }) => {
    it(`ends each attempt as ${kind} for ${name}`, async () => {
      const port = await start(respond);
      const ends = await Promise.all(Array.from({ length: 20 }, () => send({ port })));
      expect(ends.map((end) => end.kind)).toEqual(ends.map(() => kind));
    });

    // Guards against a connection that ends while it is paused, which ended the process.
    it(`ends an attempt of a slow caller as ${kind} for ${name}`, async () => {
      expect((await send({ port: await start(respond), isSlow: true })).kind).toEqual(kind);
    });
  });

  it('reads the next response on a connection that was paused at the end of the last one', async () => {
    const port = await start((socket) => {
      const respond = (): boolean => socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
      socket.on('data', respond);
      respond();
    });
    const connections = createConnections();
    const first = await send({ port, isSlow: true, connections });
    const second = await send({ port, isSlow: true, connections });
    expect([first.kind, second.kind]).toEqual(['whole', 'whole']);
    await connections.close();
  });

  it('reads for how long a full server wants no other request', async () => {
    server = createServer((socket) => {
      socket.once('data', () =>
        socket.write(
          'HTTP/1.1 503 Full\r\nx-not-run: 1\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n',
        ),
      );
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    const end = await send({ port: (server.address() as AddressInfo).port });
    expect(end).toEqual({ kind: 'notRun', status: 503, retryAfter: 1_500 });
  });

  it('reports a refused connection as not connected', async () => {
    expect((await send({ port: 1 })).kind).toEqual('notConnected');
  });
});
