import { Agent, request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds, Random } from '@rattanreel/core';
import type { CallerEnd, SoakBounds, SoakHost, SoakRecorder, SoakRoute } from './types';

const CALLERS_PER_HOST = 2;
/** Share of requests that ask the server for long work, so that a stop finds some in flight. */
const LONG_WORK_SHARE = 0.4;
const MINIMUM_LONG_WORK: Milliseconds = 200;
const MAXIMUM_LONG_WORK: Milliseconds = 800;
const MAXIMUM_PAUSE: Milliseconds = 60;
/** Timeout of a caller: well beyond the route's timeout. */
const CALLER_TIMEOUT: Milliseconds = 6_000;

const routes: readonly SoakRoute[] = ['order', 'order', 'order', 'look', 'look', 'draft'];

interface KeptCallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly recorder: SoakRecorder;
  readonly random: Random;
  readonly bounds: SoakBounds;
  readonly getKey: () => string;
}

function toText(header: string | string[] | undefined): string | undefined {
  return header?.toString();
}

async function readResponse(incoming: IncomingMessage): Promise<CallerEnd> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return {
    kind: 'answered',
    status: incoming.statusCode ?? 0,
    answersTo: toText(incoming.headers['x-rattanreel-request-id']),
    seal: toText(incoming.headers['x-rattanreel-response-seal']),
    body: Buffer.concat(chunks).toString(),
  };
}

/** Resolves once a request has a connection; rejects if there is none. */
async function waitForConnection(outgoing: ClientRequest): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    outgoing.once('error', reject);
    outgoing.once('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', resolve);
      } else {
        resolve();
      }
    });
  });
}

/**
 * Starts callers that send one request after the other on one kept connection to a host each, whether
 * it says that it is ready or not, also while its process stops.
 */
export default function createKeptCallers(options: KeptCallersOptions) {
  const { hosts, recorder, random, bounds } = options;
  let isStopped = false;

  async function sendRequest(agent: Agent, host: number): Promise<void> {
    const id = random.identifier();
    const route = routes[random.integer(0, routes.length - 1)]!;
    const work =
      random.next() < LONG_WORK_SHARE ? random.integer(MINIMUM_LONG_WORK, MAXIMUM_LONG_WORK) : '';
    const key = options.getKey();
    const outgoing = openRequest(`${hosts[host]!.callerUrl}/${route}/${work}`, {
      agent,
      method: 'POST',
      headers: {
        host: 'soak.example',
        'content-length': 4,
        'x-rattanreel-request-id': id,
        'x-rattanreel-key': key,
        'x-rattanreel-deadline-ms': String(bounds.timeout),
      },
      signal: AbortSignal.timeout(CALLER_TIMEOUT),
    });
    // Each error is handled below; Node.js may report another one after it.
    outgoing.on('error', () => undefined);
    let sentAt: Milliseconds | undefined;
    const response = new Promise<IncomingMessage>((resolve, reject) => {
      outgoing.once('response', resolve);
      outgoing.once('error', reject);
    });
    // Awaited below, once there is a connection.
    response.catch(() => undefined);
    const connection = waitForConnection(outgoing);
    outgoing.once('finish', () => {
      sentAt = recorder.now();
    });
    await connection;
    recorder.recordSent({ id, route, host, customer: 'large', key, at: recorder.now() });
    outgoing.end('soak');
    try {
      recorder.recordEnd(id, await readResponse(await response));
    } catch (error) {
      recorder.recordEnd(id, {
        kind: 'cut',
        reason: String(error),
        ...(outgoing.reusedSocket && sentAt !== undefined && { reusedAt: sentAt }),
      });
    }
  }

  async function sendInTurn(host: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      // Without a connection no request was sent.
      await sendRequest(agent, host).catch(() => undefined);
      await sleep(random.integer(0, MAXIMUM_PAUSE));
    }
    agent.destroy();
  }

  const callers = hosts.flatMap((_, host) =>
    Array.from({ length: CALLERS_PER_HOST }, () => sendInTurn(host)),
  );
  return {
    /** Ends each caller after its current request. */
    async stop(): Promise<void> {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}
