import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { createSystemClock } from '@rattanreel/core';
import createCallerMemory from './createCallerMemory';
import createIntake from './createIntake';
import readBody from './readBody';
import type { BodyResult, IntakeEnd, IntakeLimits } from './types';

const LIMITS: IntakeLimits = { headerBytes: 4_096, headerTimeout: 200, idleTimeout: 400 };
const BODY_LIMIT = 1_000_000;
const MEMORY = 40_000_000;
const SMALL_MEMORY = 200_000;
const BODY_TIMEOUT = 700;
const WAIT_MS = 3_000;
const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\n';
const GET = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

const createBody = (length: number, sent = length): string =>
  `${HEAD}content-length: ${length}\r\n\r\n${'x'.repeat(sent)}`;

interface Caller {
  readonly socket: Socket;
  getText(): string;
  isClosed(): boolean;
}

interface Step {
  /** Number of the connection, which is opened by its first step. */
  readonly caller: number;
  readonly text?: string;
  /** What the caller has read some time after it; nothing is checked if absent. */
  readonly reads?: RegExp;
  /** Number of responses that it has read then. */
  readonly responses?: number;
  readonly isClosed?: boolean;
  /** Time before the step. */
  readonly delay?: number;
  readonly isPaused?: boolean;
}

interface IntakeCase {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly ends?: readonly IntakeEnd[];
  /** Most requests that may wait for a response at once. */
  readonly most?: number;
  readonly responseBytes?: number;
  readonly memory?: number;
  readonly maximumConnections?: number;
}

const cases: readonly IntakeCase[] = [
  {
    name: 'parses a few of many requests before the first response',
    steps: [{ caller: 0, text: GET.repeat(2_000), responses: 2_000 }],
    most: 40,
  },
  {
    name: 'serves a body in chunks of one byte, and the next request',
    steps: [
      {
        caller: 0,
        text: `${HEAD}transfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(50_000)}0\r\n\r\n${GET}`,
        reads: /whole 50000[^]*whole 0$/,
      },
    ],
  },
  {
    name: 'serves a body of the limit while another one has begun',
    steps: [
      { caller: 0, text: createBody(30_000, 29_999) },
      { caller: 1, text: createBody(100_000), reads: /whole 100000$/ },
      { caller: 0, text: 'x', reads: /whole 30000$/ },
    ],
  },
  {
    name: 'refuses a head over the limit',
    steps: [
      { caller: 0, text: `${HEAD}a: ${'x'.repeat(4_200)}\r\n\r\n`, reads: /^HTTP\/1\.1 431 / },
    ],
    ends: ['headTooLarge'],
  },
  {
    name: 'ends a head that is not completed',
    steps: [{ caller: 0, text: HEAD, reads: /^HTTP\/1\.1 408 /, isClosed: true }],
    ends: ['headLate'],
  },
  {
    name: 'ends a connection without a byte',
    steps: [{ caller: 0, isClosed: true }],
    ends: ['headLate'],
  },
  {
    name: 'ends a body that stops arriving, and tells its caller',
    steps: [{ caller: 0, text: createBody(1_000, 999), reads: /late$/, isClosed: true }],
    ends: ['bodyLate'],
  },
  {
    name: 'evicts a body that has been arriving for long for a new one',
    steps: [
      { caller: 0, text: createBody(140_000, 139_000) },
      { caller: 1, text: createBody(140_000), delay: 550, reads: /whole 140000$/ },
      { caller: 0, reads: /noMemory$/, isClosed: true },
    ],
    ends: ['evicted'],
    memory: SMALL_MEMORY,
  },
  {
    name: 'refuses a new body for one that has begun to arrive',
    steps: [
      { caller: 0, text: createBody(140_000, 139_000) },
      { caller: 1, text: createBody(140_000) + GET, reads: /noMemory[^]*whole 0$/ },
      { caller: 0, text: 'x'.repeat(1_000), reads: /whole 140000$/ },
    ],
    memory: SMALL_MEMORY,
  },
  {
    name: 'refuses an announced body over the limit, whose caller reads that',
    steps: [{ caller: 0, text: createBody(2_000_000), reads: /tooLarge$/, isClosed: true }],
  },
  {
    name: 'closes the connection that has been idle longest for a new one',
    steps: [
      { caller: 0, text: GET, reads: /whole 0$/ },
      { caller: 1, text: GET, reads: /whole 0$/ },
      { caller: 2, text: GET, reads: /whole 0$/ },
      { caller: 0, isClosed: true },
      { caller: 1, text: GET, reads: /whole 0[^]*whole 0$/ },
    ],
    ends: ['tooManyConnections'],
    maximumConnections: 2,
  },
  {
    name: 'ends a response that its caller does not read',
    steps: [
      { caller: 0, isPaused: true, text: GET },
      { caller: 0, delay: 1_200, isPaused: false, isClosed: true },
    ],
    ends: ['unread'],
    memory: Infinity,
    responseBytes: 24_000_000,
  },
];

describe('createIntake', () => {
  const callers = new Map<number, Caller>();
  let server: Server;

  afterEach(() => {
    callers.forEach(({ socket }) => socket.destroy());
    callers.clear();
    server.close();
    server.closeAllConnections();
  });

  function getCaller(number: number): Caller {
    const known = callers.get(number);
    if (known !== undefined) {
      return known;
    }
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let text = '';
    let isClosed = false;
    socket.setEncoding('latin1').on('data', (part: string) => {
      text += part;
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      isClosed = true;
    });
    const caller = { socket, getText: () => text, isClosed: () => isClosed };
    callers.set(number, caller);
    return caller;
  }

  async function waitFor(isReached: () => boolean): Promise<void> {
    for (const since = performance.now(); !isReached() && performance.now() - since < WAIT_MS;) {
      await sleep(5);
    }
  }

  cases.forEach((intakeCase) => {
    it(intakeCase.name, async () => {
      const clock = createSystemClock();
      const memory = createCallerMemory({ clock, bytes: intakeCase.memory ?? MEMORY });
      const ends: IntakeEnd[] = [];
      const intake = createIntake({
        clock,
        memory,
        getMaximumConnections: () => intakeCase.maximumConnections ?? Infinity,
        getLimits: () => LIMITS,
        onEnd: (end) => ends.push(end),
      });
      const open = new Set<ServerResponse>();
      let most = 0;

      function respond(outgoing: ServerResponse, read: BodyResult): void {
        const text = read.kind === 'whole' ? `whole ${read.body.length}` : read.kind;
        const padding = ' '.repeat(intakeCase.responseBytes ?? 0);
        outgoing.shouldKeepAlive =
          read.kind === 'whole' || (read.kind === 'noMemory' && read.isComplete);
        outgoing.end(padding + text);
      }

      function handle(incoming: IncomingMessage, outgoing: ServerResponse): void {
        open.add(outgoing);
        most = Math.max(most, open.size);
        const reservation = memory.reserve();
        outgoing.once('close', () => {
          open.delete(outgoing);
          reservation.release();
        });
        readBody({
          incoming,
          limit: BODY_LIMIT,
          expiresAt: clock.now() + BODY_TIMEOUT,
          reservation,
          connection: intake.tryGetConnection(incoming),
          onRead: (read) => setImmediate(respond, outgoing, read),
        });
      }

      server = createServer(intake.handle(handle));
      intake.guard(server);
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      for (const { caller: number, text = '', reads, isClosed, ...step } of intakeCase.steps) {
        const { responses, delay = 0, isPaused = false } = step;
        await sleep(delay);
        const caller = getCaller(number);
        if (isPaused) {
          caller.socket.pause();
        } else {
          caller.socket.resume();
        }
        caller.socket.write(text, 'latin1');
        await waitFor(() => reads === undefined || reads.test(caller.getText()));
        expect(caller.getText()).toMatchRegex(reads ?? /(?:)/);
        const countResponses = (): number => caller.getText().split('whole ').length - 1;
        await waitFor(() => responses === undefined || countResponses() >= responses);
        expect(countResponses()).toEqual(responses ?? countResponses());
        await waitFor(() => isClosed === undefined || caller.isClosed() === isClosed);
        expect(caller.isClosed()).toEqual(isClosed ?? caller.isClosed());
      }
      expect(ends).toEqual([...(intakeCase.ends ?? [])]);
      expect(most).toBeLessThanOrEqual(intakeCase.most ?? Infinity);
      callers.forEach(({ socket }) => socket.destroy());
      await waitFor(() => memory.getOverhead() === 0 && memory.getUsed() === 0);
      expect([memory.getOverhead(), memory.getUsed()]).toEqual([0, 0]);
    });
  });
});
