import { Worker } from 'node:worker_threads';
import type { Milliseconds } from '@rattanreel/core';

/** A call of a host from outside; the caller closes its connection when it gives up. */
interface OutsideCall {
  readonly port: number;
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  readonly target: string;
  readonly deadline: Milliseconds;
  readonly giveUpAfter: Milliseconds;
}

interface OutsideAnswer {
  /** The complete response as text; empty if the caller gave up before any byte. */
  readonly text: string;
  readonly isClosedByHost: boolean;
}

interface ReceivedRequest {
  readonly requestId: string;
  readonly deadline: number;
  /** Time since the call that this request belongs to was sent; undefined if there is none. */
  readonly afterCall: Milliseconds | undefined;
}

/** Runs in a thread of its own, so that its event loop runs while that of the test is blocked. */
const PROGRAM = `
const { createServer } = require('node:http');
const { connect } = require('node:net');
const { parentPort } = require('node:worker_threads');
const sentAt = new Map();
const received = [];
let delay = 0;
const server = createServer((incoming, outgoing) => {
  const requestId = incoming.headers['x-request-id'];
  const at = performance.now();
  const afterCall = sentAt.has(requestId) ? at - sentAt.get(requestId) : undefined;
  received.push({ requestId, deadline: Number(incoming.headers['x-deadline']), afterCall });
  incoming.resume();
  outgoing.setHeader('x-request-id', requestId);
  setTimeout(() => outgoing.end('ok'), delay);
});
server.keepAliveTimeout = 60000;
server.listen(0, '127.0.0.1', () => parentPort.postMessage({ port: server.address().port }));
const sockets = new Map();
function call(id, { port, requestId, method, target, deadline, giveUpAfter, connection }) {
  let text = '';
  let isDone = false;
  const known = sockets.get(connection);
  const socket = known ?? connect(port, '127.0.0.1');
  if (connection !== undefined) sockets.set(connection, socket);
  const finish = (isClosedByHost) => {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    parentPort.postMessage({ id, answer: { text, isClosedByHost } });
  };
  const timer = setTimeout(() => { socket.destroy(); finish(false); }, giveUpAfter);
  sentAt.set(requestId, performance.now());
  socket.write(method + ' ' + target + ' HTTP/1.1\\r\\nhost: h\\r\\nx-request-id: ' + requestId +
    '\\r\\nx-key: key\\r\\nx-deadline: ' + deadline + '\\r\\ncontent-length: 0\\r\\n\\r\\n');
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
    const length = /content-length: (\\d+)/i.exec(text);
    const end = text.indexOf('\\r\\n\\r\\n');
    if (length !== null && end >= 0 && text.length >= end + 4 + Number(length[1])) finish(false);
  });
  socket.on('error', () => undefined);
  socket.on('close', () => finish(true));
}
parentPort.on('message', (message) => {
  if (message.kind === 'call') call(message.id, message.call);
  if (message.kind === 'delay') delay = message.delay;
  if (message.kind === 'received') parentPort.postMessage({ id: message.id, answer: received });
  if (message.kind === 'stop') { server.close(); server.closeAllConnections(); process.exit(); }
});
`;

/**
 * Runs callers and a backend server over real sockets in a thread of their own, so that they keep
 * time while the event loop of the test is blocked.
 */
export default async function createTestOutside() {
  const worker = new Worker(PROGRAM, { eval: true });
  const waiting = new Map<number, (answer: unknown) => void>();
  let lastId = 0;

  const port = await new Promise<number>((resolve) => {
    worker.on('message', (message: { id?: number; answer?: unknown; port?: number }) => {
      if (message.port !== undefined) {
        resolve(message.port);
      } else {
        waiting.get(message.id!)?.(message.answer);
        waiting.delete(message.id!);
      }
    });
  });

  function ask<Answer>(message: object): Promise<Answer> {
    lastId += 1;
    const id = lastId;
    worker.postMessage({ ...message, id });
    return new Promise((resolve) => {
      waiting.set(id, resolve as (answer: unknown) => void);
    });
  }

  return {
    /** Port of the backend server. */
    port,
    /** Calls with the same `connection` share it. */
    call: (call: OutsideCall & { readonly connection?: string }): Promise<OutsideAnswer> =>
      ask({ kind: 'call', call }),
    /** Sets the time that the backend server takes to respond. */
    setDelay: (delay: Milliseconds): void => worker.postMessage({ kind: 'delay', delay }),
    listReceived: (): Promise<readonly ReceivedRequest[]> => ask({ kind: 'received' }),
    stop: async (): Promise<void> => {
      worker.postMessage({ kind: 'stop' });
      await worker.terminate();
    },
  };
}
