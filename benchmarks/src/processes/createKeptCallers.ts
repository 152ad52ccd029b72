import { Agent, request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds, Random } from '@rattanreel/core';
import drawKeptRequest from './drawKeptRequest';
import type { KeptCallerKind, KeptRequest, SoakHost, SoakRecorder } from './types';

/** Callers of each host. */
const callerKinds: readonly KeptCallerKind[] = [
  'short',
  'short',
  'chat',
  'chat',
  'chat',
  'slowReader',
];
const MAXIMUM_PAUSE: Milliseconds = 60;
/** Time after the deadline of a request at which its caller gives up. */
const PATIENCE: Milliseconds = 4_500;

interface KeptCallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly recorder: SoakRecorder;
  readonly random: Random;
  readonly getKey: () => string;
}

function toText(header: string | string[] | undefined): string | undefined {
  return header?.toString();
}

async function readResponse(incoming: IncomingMessage) {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return {
    kind: 'answered' as const,
    status: incoming.statusCode ?? 0,
    answersTo: toText(incoming.headers['x-rattanreel-request-id']),
    seal: toText(incoming.headers['x-rattanreel-response-seal']),
    body: Buffer.concat(chunks).toString(),
    closes: incoming.headers.connection === 'close',
  };
}

/** Resolves with the connection of a request once it is open; rejects if there is none. */
async function waitForConnection(outgoing: ClientRequest): Promise<Socket> {
  return new Promise((resolve, reject) => {
    outgoing.once('error', reject);
    outgoing.once('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => resolve(socket));
      } else {
        resolve(socket);
      }
    });
  });
}

/**
 * Starts callers that send one request after the other on one kept connection to a host each, whether
 * it says that it is ready or not, also while its process stops: streams the moment the last response
 * has ended.
 */
export default function createKeptCallers(options: KeptCallersOptions) {
  const { hosts, recorder, random } = options;
  /** When each connection was opened. */
  const openings = new WeakMap<Socket, Milliseconds>();
  let isStopped = false;

  async function sendRequest(agent: Agent, host: number, next: KeptRequest): Promise<void> {
    const id = random.identifier();
    const { route, deadline: timeout, padding, bodyDuration, readsAfter } = next;
    const key = options.getKey();
    const outgoing = openRequest(`${hosts[host]!.callerUrl}${next.path}`, {
      agent,
      method: 'POST',
      headers: {
        ...next.headers,
        host: 'soak.example',
        'x-rattanreel-request-id': id,
        'x-rattanreel-key': key,
        'x-rattanreel-deadline-ms': String(timeout),
      },
      signal: AbortSignal.timeout(timeout + PATIENCE),
    });
    // Each error is handled below; Node.js may report another one after it.
    outgoing.on('error', () => undefined);
    let lastByteAt: Milliseconds | undefined;
    const response = new Promise<IncomingMessage>((resolve, reject) => {
      outgoing.once('response', resolve);
      outgoing.once('error', reject);
    });
    // Awaited below, once there is a connection.
    response.catch(() => undefined);
    const connection = waitForConnection(outgoing);
    const describeSending = () => (lastByteAt === undefined ? {} : { lastByteAt });
    outgoing.once('finish', () => {
      lastByteAt = recorder.now();
    });
    const socket = await connection;
    const at = recorder.now();
    const connectedAt = openings.get(socket) ?? at;
    openings.set(socket, connectedAt);
    recorder.recordSent({
      ...{ id, route, host, customer: 'large', key, at, timeout, padding, connectedAt },
      isReadLate: readsAfter > 0,
    });
    outgoing.write('so');
    setTimeout(() => outgoing.end('ak'), bodyDuration);
    try {
      const incoming = await response;
      await sleep(readsAfter);
      recorder.recordEnd(id, { ...(await readResponse(incoming)), ...describeSending() });
    } catch (error) {
      recorder.recordEnd(id, {
        kind: 'cut',
        reason: String(error),
        ...describeSending(),
        ...(outgoing.reusedSocket && lastByteAt !== undefined && { reusedAt: lastByteAt }),
      });
    }
  }

  async function sendInTurn(host: number, kind: KeptCallerKind): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      const isSent = await sendRequest(agent, host, drawKeptRequest(random, kind)).then(
        () => true,
        // Without a connection no request was sent.
        () => false,
      );
      if (kind === 'short' || !isSent) {
        await sleep(random.integer(1, MAXIMUM_PAUSE));
      }
    }
    agent.destroy();
  }

  const callers = hosts.flatMap((_, host) => callerKinds.map((kind) => sendInTurn(host, kind)));
  return {
    /** Ends each caller after its current request. */
    async stop(): Promise<void> {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}
