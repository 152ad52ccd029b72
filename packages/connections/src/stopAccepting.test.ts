import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import stopAccepting from './stopAccepting';

const LARGE_BYTES = 24_000_000;
const REQUEST = 'GET /small HTTP/1.1\r\nhost: h\r\n\r\n';
const LARGE_REQUEST = 'GET /large HTTP/1.1\r\nhost: h\r\n\r\n';
const REQUEST_PART = 'GET /small HTTP/1.1\r\nho';

interface Caller {
  readonly socket: Socket;
  countBytes(): number;
  isClosed(): boolean;
}

interface ConnectionCase {
  readonly name: string;
  readonly written: string;
  /** Whether the caller reads nothing before the stop. */
  readonly isPaused?: boolean;
  readonly isClosed: boolean;
  /** Written after the stop. */
  readonly rest?: string;
  /** Received in the end, at least. */
  readonly bytes: number;
}

const cases: readonly ConnectionCase[] = [
  { name: 'closes an idle one', written: REQUEST, isClosed: true, bytes: 1 },
  {
    name: 'spares one that has begun a next request',
    written: REQUEST + REQUEST_PART,
    isClosed: false,
    rest: 'st: h\r\n\r\n',
    bytes: 200,
  },
  {
    name: 'spares one of which the response is not sent',
    written: LARGE_REQUEST,
    isPaused: true,
    isClosed: false,
    bytes: LARGE_BYTES,
  },
];

describe('kept connections of a server that stops, beside a reader that reads nothing', () => {
  const active = new Set<ServerResponse>();
  const callers: Caller[] = [];
  let server: Server;

  function open(written: string, isPaused: boolean): Caller {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let bytes = 0;
    let isClosed = false;
    socket.on('data', (chunk) => {
      bytes += chunk.length;
    });
    socket.once('close', () => {
      isClosed = true;
    });
    socket.on('error', () => undefined);
    if (isPaused) {
      socket.pause();
    }
    socket.write(written);
    const caller = { socket, countBytes: () => bytes, isClosed: () => isClosed };
    callers.push(caller);
    return caller;
  }

  beforeEach(async () => {
    server = createServer((incoming, outgoing) => {
      active.add(outgoing);
      outgoing.once('close', () => active.delete(outgoing));
      outgoing.end(incoming.url === '/large' ? Buffer.alloc(LARGE_BYTES) : 'ok');
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    callers.splice(0).forEach(({ socket }) => socket.destroy());
    server.closeAllConnections();
    server.close();
  });

  cases.forEach(({ name, written, isPaused = false, isClosed, rest, bytes }) => {
    // Guards against one slow reader that keeps all idle connections of a stopping host open.
    it(name, async () => {
      open(LARGE_REQUEST, true);
      const caller = open(written, isPaused);
      await sleep(200);
      stopAccepting(server, active);
      await sleep(200);
      expect(caller.isClosed()).toEqual(isClosed);
      caller.socket.resume();
      if (rest !== undefined) {
        caller.socket.write(rest);
      }
      await sleep(500);
      expect(caller.countBytes()).toBeGreaterThanOrEqual(bytes);
    });
  });
});
