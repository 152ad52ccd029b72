import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import type { Milliseconds } from '@rattanreel/core';
import startCaller from './testing/startCaller';
import withServeHost from './testing/withServeHost';

const GRACE_PERIOD = 2_000;
const WORK_DURATION = 600;
/** Requests that the backend server works on at once. */
const SERVER_SLOTS = 16;
const LATER_THAN_HOST = 15_000;
const EARLIER_THAN_HOST = 1_700;
const ID = 'measured';
const BODY = JSON.stringify({ reference: ID, item: 'hulls', quantity: 1 });
const REFUSED = /^HTTP\/1\.1 503 [^]*connection: close[^]*"not-run"/i;
const WHOLE = /^HTTP\/1\.1 200 [^]*connection: close[^]*measured/i;

interface StopCase {
  readonly name: string;
  readonly deadline: Milliseconds;
  /** When the request is sent, from the signal. */
  readonly sentAt: Milliseconds;
  /** Time between the head of the request and its body. */
  readonly bodyDuration?: Milliseconds;
  readonly isChunked?: boolean;
  /** Whether all slots of the server are taken at first. */
  readonly isServerFull?: boolean;
  readonly key?: string;
  readonly path?: string;
  readonly response: RegExp;
  readonly isPassedOn: boolean;
}

const late = { deadline: LATER_THAN_HOST, sentAt: -200, response: REFUSED, isPassedOn: false };
const early = { deadline: EARLIER_THAN_HOST, sentAt: -200, response: WHOLE, isPassedOn: true };
const cases: readonly StopCase[] = [
  { name: 'refuses an order that waits at the signal', ...late, isServerFull: true },
  { name: 'refuses a keyed order that waits at the signal', ...late, isServerFull: true, key: ID },
  { name: 'serves an order that waits, and ends before it', ...early, isServerFull: true },
  { name: 'refuses an order whose body ends after the signal', ...late, bodyDuration: 400 },
  {
    name: 'refuses an order whose body in chunks ends after the signal',
    ...late,
    bodyDuration: 400,
    isChunked: true,
  },
  {
    name: 'serves an order whose body ends after the signal, and that ends before it',
    ...early,
    bodyDuration: 400,
  },
  { name: 'refuses an order that is sent after the signal', ...late, sentAt: 100 },
  { name: 'serves an order that was in hand at the signal', ...early, deadline: LATER_THAN_HOST },
  { name: 'issues no ticket after the signal', ...late, sentAt: 100, path: '/v1/tickets' },
];

function createHead({ deadline, isChunked, key, path }: StopCase, authorization: string): string {
  const framing = isChunked ? 'transfer-encoding: chunked' : `content-length: ${BODY.length}`;
  return [
    `POST ${path ?? '/services/order-book/orders'} HTTP/1.1`,
    'host: h',
    `authorization: ${authorization}`,
    'content-type: application/json',
    `x-deadline-ms: ${deadline}`,
    ...(key === undefined ? [] : [`idempotency-key: ${key}`]),
    framing,
    '\r\n',
  ].join('\r\n');
}

async function send(socket: Socket, stopCase: StopCase, authorization: string): Promise<void> {
  socket.write(createHead(stopCase, authorization));
  await sleep(stopCase.bodyDuration ?? 0);
  socket.write(stopCase.isChunked ? `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n` : BODY);
}

describe('what a stopping host of `serve` passes on, over real sockets', { concurrency: 3 }, () => {
  cases.forEach((stopCase) => {
    // Guards against passing on what a stopping host may have to cut, and against a ticket that
    // nobody can redeem.
    it(stopCase.name, { timeout: 40_000 }, () =>
      withServeHost(
        { workDuration: WORK_DURATION, gracePeriod: GRACE_PERIOD },
        async ({ scene, host }) => {
          const { authorization } = scene.createRequest('', 'read').headers;
          const fillers = Array.from({ length: stopCase.isServerFull ? SERVER_SLOTS : 0 }, (_, i) =>
            startCaller({ scene, name: `filler-${i}`, kind: 'read' }),
          );
          const filled = fillers.map((filler) => filler.stop());
          await sleep(100);
          const socket = connect(scene.ports.callers!, '127.0.0.1');
          let text = '';
          socket.on('data', (chunk) => {
            text += chunk.toString('latin1');
          });
          socket.on('error', () => undefined);
          const measure = () => send(socket, stopCase, authorization!);
          await sleep(50);
          const sent = stopCase.sentAt < 0 ? measure() : undefined;
          if (stopCase.sentAt >= 0) {
            // Keeps the host until the request arrives.
            fillers.push(startCaller({ scene, name: 'in-hand', kind: 'read' }));
            filled.push(fillers.at(-1)!.stop());
          }
          await sleep(Math.max(-stopCase.sentAt, 50));
          const stopped = host.stop();
          await sleep(Math.max(stopCase.sentAt, 0));
          await (sent ?? measure());
          await Promise.all([stopped, ...filled]);
          socket.destroy();
          await sleep(WORK_DURATION + 100);
          expect(text).toMatchRegex(stopCase.response);
          expect(scene.listBegun().has(ID)).toEqual(stopCase.isPassedOn);
        },
      ),
    );
  });
});
