import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import createTestRelay from '../testing/createTestRelay';
import findFreePort from '../testing/findFreePort';

/** The host ends 2,900 ms after its signal. */
const GRACE_PERIOD = 3_600;
const LATER_THAN_HOST = 3_900;
const EARLIER_THAN_HOST = 2_000;
const EVENT_INTERVAL = 50;
const SHORT = 100;

type Kind = 'stream' | 'once' | 'idempotent';
const targets: Readonly<Record<Kind, string>> = {
  stream: '/draft/',
  once: '/order/',
  idempotent: '/look/',
};

interface StopCase {
  readonly name: string;
  readonly kind: Kind;
  /** When the request is sent, from the signal. */
  readonly sentAt: Milliseconds;
  readonly deadline: Milliseconds;
  /** Time that the server takes. */
  readonly work: Milliseconds;
  /** Time between the head of the request and the rest of its body in chunks. */
  readonly bodyDuration?: Milliseconds;
  /** Work of an earlier request on the same connection, sent right before the signal. */
  readonly earlierWork?: Milliseconds;
  /** Time for which the request waits for a slot. */
  readonly wait?: Milliseconds;
  /** Whether the server closes the connection of the first attempt at half of its work. */
  readonly isBroken?: boolean;
  readonly response: RegExp;
  /** Attempts that reach the server. */
  readonly attempts: number;
}

const REFUSED =
  /^HTTP\/1\.1 503 [^]*retry-after: 0\.\d+\r\n[^]*Connection: close[^]*"stopping"[^]*"not-run"/i;
const WHOLE = /^HTTP\/1\.1 200 [^]*event 2\n\n\r\n0\r\n\r\n$/;
const late = { sentAt: 200, deadline: LATER_THAN_HOST, work: SHORT };

const cases: readonly StopCase[] = [
  {
    name: 'refuses a stream that may outlast the host',
    ...late,
    kind: 'stream',
    work: 5_000,
    response: REFUSED,
    attempts: 0,
  },
  {
    name: 'refuses an order that may outlast the host',
    ...late,
    kind: 'once',
    response: REFUSED,
    attempts: 0,
  },
  {
    name: 'refuses a request on a connection whose last response began before the signal',
    ...late,
    kind: 'stream',
    sentAt: 0,
    earlierWork: 1_000,
    response: REFUSED,
    attempts: 0,
  },
  {
    name: 'refuses a request whose body arrives after the signal',
    ...late,
    kind: 'stream',
    sentAt: -200,
    bodyDuration: 600,
    response: REFUSED,
    attempts: 0,
  },
  {
    name: 'refuses a request that waits for a slot at the signal',
    ...late,
    kind: 'stream',
    sentAt: -200,
    wait: 1_000,
    response: REFUSED,
    attempts: 0,
  },
  {
    name: 'serves a stream whose deadline is before its end',
    ...late,
    kind: 'stream',
    deadline: EARLIER_THAN_HOST,
    response: WHOLE,
    attempts: 1,
  },
  {
    name: 'serves a stream that was in hand at the signal',
    ...late,
    kind: 'stream',
    sentAt: -200,
    work: 2_000,
    response: WHOLE,
    attempts: 1,
  },
  {
    name: 'answers at its deadline an order that the server delays',
    ...late,
    kind: 'once',
    deadline: EARLIER_THAN_HOST,
    work: 5_000,
    response: /^HTTP\/1\.1 504 [^]*Connection: close[^]*"may-have-run"/i,
    attempts: 1,
  },
  {
    name: 'repeats an attempt of a request that was in hand at the signal',
    ...late,
    kind: 'idempotent',
    sentAt: -200,
    work: 800,
    isBroken: true,
    response: WHOLE,
    attempts: 2,
  },
];

/** Responds with events over the time that the path asks for. */
function createWorkServer(isBroken: boolean) {
  let attempts = 0;
  const server: Server = createServer((incoming: IncomingMessage, outgoing: ServerResponse) => {
    const duration = Number(incoming.url?.split('/')[2]);
    if (incoming.headers['x-request-id'] === 'measured') {
      attempts += 1;
    }
    incoming.resume();
    if (isBroken && attempts === 1) {
      setTimeout(() => incoming.socket.destroy(), duration / 2);
      return;
    }
    outgoing.writeHead(200, {
      'x-request-id': incoming.headers['x-request-id'],
      'content-type': 'text/event-stream',
    });
    const timer = setInterval(() => outgoing.write('data: event 1\n\n'), EVENT_INTERVAL);
    setTimeout(() => outgoing.end('data: event 2\n\n'), duration);
    outgoing.once('close', () => clearInterval(timer));
  });
  return { server, countAttempts: () => attempts };
}

/** Collects what a connection receives. */
function createReader(socket: Socket) {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  return {
    closed,
    async waitForText(): Promise<void> {
      while (text === '') {
        await sleep(1);
      }
    },
    /** Resolves once a chunked response has ended, and forgets it. */
    async waitForEnd(): Promise<void> {
      while (!text.endsWith('0\r\n\r\n')) {
        await sleep(1);
      }
      text = '';
    },
    getText: () => text,
  };
}

function createHead(id: string, target: string, deadline: Milliseconds): string {
  return (
    `POST ${target} HTTP/1.1\r\nhost: h\r\nx-request-id: ${id}\r\nx-key: key\r\n` +
    `x-deadline: ${deadline}\r\ntransfer-encoding: chunked\r\n\r\n`
  );
}

describe('what a stopping host accepts, over real sockets', { concurrency: 3 }, () => {
  cases.forEach((stopCase) => {
    // Guards against passing on what a stopping host may have to cut, and against cutting it.
    it(stopCase.name, async () => {
      const { kind, sentAt, deadline, work, bodyDuration = 0, earlierWork, wait } = stopCase;
      const { server, countAttempts } = createWorkServer(stopCase.isBroken ?? false);
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const port = await findFreePort();
      const relay = await createTestRelay({
        clock: createSystemClock(),
        serverPort: (server.address() as AddressInfo).port,
        callerPort: port,
        ...(wait !== undefined && { grantDelay: wait }),
      });
      const socket = connect(port, '127.0.0.1');
      const reader = createReader(socket);
      const send = async (): Promise<void> => {
        socket.write(createHead('measured', `${targets[kind]}${work}`, deadline));
        await sleep(bodyDuration);
        socket.write('4\r\nbody\r\n0\r\n\r\n');
      };
      let drained: Promise<void> | undefined;
      try {
        if (earlierWork !== undefined) {
          socket.write(`${createHead('earlier', `/draft/${earlierWork}`, 3_900)}0\r\n\r\n`);
          await reader.waitForText();
        }
        const sent = sentAt < 0 ? send() : undefined;
        await sleep(Math.max(-sentAt, 0));
        drained = relay.drain(GRACE_PERIOD);
        if (earlierWork !== undefined) {
          await reader.waitForEnd();
        }
        await sleep(Math.max(sentAt, 0));
        await (sent ?? send());
        await Promise.race([reader.closed, drained]);
        expect(reader.getText()).toMatchRegex(stopCase.response);
        expect(countAttempts()).toEqual(stopCase.attempts);
      } finally {
        await drained;
        socket.destroy();
        await relay.stop();
        server.closeAllConnections();
        server.close();
      }
    });
  });
});
