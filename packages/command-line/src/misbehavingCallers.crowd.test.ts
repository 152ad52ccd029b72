import { readFile } from 'node:fs/promises';
import { request as openRequest } from 'node:http';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCrowd from './testing/crowd/startCrowd';
import type { Crowd, CrowdReader, MessageCrowd, Repeated } from './testing/crowd/types';
import watchProcess from './testing/crowd/watchProcess';
import startProgram from './testing/startProgram';
import type { Program, ProgramKind, Scene } from './testing/types';

/** Memory of the smallest hosts of relays, and of hosts of `serve`, in megabytes. */
const RELAY_MEMORY = 178;
const SERVE_MEMORY = 200;
const DESCRIPTORS = 600;
const TIMEOUT = { timeout: 90_000 };
const START_TIMEOUT_MS = 15_000;
const ANSWER_TIMEOUT_MS = 30_000;
const ATTEMPT_TIMEOUT_MS = 7_000;
const RETRY_DELAY_MS = 250;
const HTTP_OK = 200;
const KIBIBYTE = 1_024;
const MEBIBYTE = KIBIBYTE * KIBIBYTE;
const LARGE_BODY = 100 * KIBIBYTE;

type Endpoint = 'callers' | 'readiness' | 'metrics' | 'peers';

type CrowdForm =
  | { readonly parts: readonly Repeated[]; readonly reader?: CrowdReader; readonly visits?: number }
  | Pick<MessageCrowd, 'kind' | 'path' | 'streams' | 'announcedBytes' | 'sentBytes'>;

type CrowdCase = CrowdForm & {
  readonly name: string;
  /** Why the case fails, if it does; listed in KNOWN-RED.txt. */
  readonly todo?: string;
  readonly program?: ProgramKind;
  readonly endpoint?: Endpoint;
  readonly connections: number;
  /** Size of the ordinary order. */
  readonly orderBytes?: number;
  readonly responseBytes?: number;
  readonly descriptors?: number;
  /** Whether the process gets the signal to stop while the crowd is there. */
  readonly isStopped?: boolean;
};

const RELAY_HEAD =
  'POST /order/crowd HTTP/1.1\r\nhost: shop.example\r\nx-rattanreel-deadline-ms: 7000\r\n';
const RELAY_READ =
  'GET /read/crowd HTTP/1.1\r\nhost: shop.example\r\nx-rattanreel-deadline-ms: 7000\r\n\r\n';
const SERVE_HEAD =
  'POST /services/order-book/orders HTTP/1.1\r\nhost: shop.example\r\n' +
  'authorization: Bearer test-key-workshop\r\ncontent-type: application/json\r\n';

const once = (text: string): Repeated => ({ text, count: 1 });
const many = (text: string, count: number): Repeated => ({ text, count });

/** Returns a request of which the last `missing` bytes of the body are not sent. */
function createBody(head: string, bytes: number, missing = 0): readonly Repeated[] {
  return [once(`${head}content-length: ${bytes}\r\n\r\n`), many('x', bytes - missing)];
}

/** Returns a request in chunks, without its last chunk. */
function createChunks(head: string, chunkBytes: number, count: number): readonly Repeated[] {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return [once(`${head}transfer-encoding: chunked\r\n\r\n`), many(chunk, count)];
}

/** Returns parts of the messages of peers. */
function createMessages(streams: number, sentBytes: number) {
  const path = '/rattanreel.Peer/Ask';
  return { kind: 'messages' as const, path, streams, announcedBytes: 32 * MEBIBYTE, sentBytes };
}

const smallOrder = `${RELAY_HEAD}content-length: 5\r\n\r\nbolts`;
const largeOrder = `${RELAY_HEAD}content-length: 30000\r\n\r\n${'x'.repeat(30_000)}`;
const serveOrder = `${SERVE_HEAD}idempotency-key: crowd\r\ncontent-length: 2\r\n\r\n{}`;
const check = 'GET /v1/ready HTTP/1.1\r\nhost: checks.example\r\n\r\n';
const scrape = 'GET /metrics HTTP/1.1\r\nhost: checks.example\r\n\r\n';

const pipelined: readonly CrowdCase[] = [
  { name: '4,000 orders each', connections: 40, parts: [many(smallOrder, 4_000)] },
  { name: '100,000 orders', connections: 1, parts: [many(smallOrder, 100_000)] },
  {
    name: '4,000 orders each, no response read',
    connections: 40,
    parts: [many(smallOrder, 4_000)],
    reader: 'readsNothing',
  },
  { name: '500 orders of 30 KB each', connections: 60, parts: [many(largeOrder, 500)] },
  {
    name: 'requests of unknown routes',
    connections: 100,
    parts: [many('GET / HTTP/1.1\r\n\r\n', 20_000)],
    reader: 'readsNothing',
  },
];

const heads: readonly CrowdCase[] = [
  {
    name: 'heads of 54 KB, without the body',
    connections: 1_500,
    parts: [
      once(`${RELAY_HEAD}content-length: 5\r\n`),
      many(`a: ${'x'.repeat(1_019)}\r\n`, 54),
      once('\r\n'),
    ],
  },
  {
    name: 'heads of 16 KB in short fields, without the body',
    connections: 1_500,
    parts: [once(`${RELAY_HEAD}content-length: 5\r\n`), many('a:b\r\n', 1_900), once('\r\n')],
  },
  {
    name: 'heads in short fields, without their end',
    connections: 900,
    parts: [once(RELAY_HEAD), many('a:b\r\n', 1_900)],
  },
];

const bodies: readonly CrowdCase[] = [
  {
    name: '300 KB in chunks of one byte',
    connections: 150,
    parts: createChunks(RELAY_HEAD, 1, 300_000),
  },
  {
    name: '64 KB in chunks of 16 bytes',
    connections: 1_000,
    parts: createChunks(RELAY_HEAD, 16, 4_095),
    orderBytes: LARGE_BODY,
  },
  {
    name: '4 MiB in chunks of 1 MiB',
    connections: 200,
    parts: createChunks(RELAY_HEAD, MEBIBYTE, 4),
  },
  {
    name: '60 KB, one byte short',
    connections: 1_000,
    parts: createBody(RELAY_HEAD, 60 * KIBIBYTE, 1),
    orderBytes: LARGE_BODY,
  },
  {
    name: '16 KB, one byte short',
    connections: 2_500,
    parts: createBody(RELAY_HEAD, 16 * KIBIBYTE, 1),
    orderBytes: LARGE_BODY,
  },
  {
    name: '64 KB announced, none sent',
    connections: 1_000,
    parts: createBody(RELAY_HEAD, 64 * KIBIBYTE, 64 * KIBIBYTE),
    orderBytes: LARGE_BODY,
  },
  {
    name: '16 MiB, four times the limit, by callers who return',
    connections: 200,
    parts: createBody(RELAY_HEAD, 16 * MEBIBYTE),
    reader: 'leavesAndReturns',
    visits: 10,
  },
  {
    name: '16 MiB in chunks, not announced, by callers who return',
    connections: 100,
    parts: createChunks(RELAY_HEAD, 65_536, 256),
    reader: 'leavesAndReturns',
    visits: 5,
  },
  {
    name: 'whole bodies of 4 MiB',
    connections: 120,
    parts: createBody(RELAY_HEAD, 4 * MEBIBYTE),
  },
];

const responses: readonly CrowdCase[] = [
  {
    name: 'responses of 200 KB that nobody reads',
    connections: 700,
    parts: [once(RELAY_READ)],
    reader: 'readsNothing',
    responseBytes: 200 * KIBIBYTE,
  },
];

const descriptors: readonly CrowdCase[] = [
  {
    name: 'connections without a byte',
    connections: 900,
    parts: [],
    descriptors: DESCRIPTORS,
  },
  {
    name: 'connections with a part of a head',
    connections: 900,
    parts: [once(RELAY_HEAD)],
    descriptors: DESCRIPTORS,
  },
  {
    name: 'connections of checks',
    endpoint: 'readiness',
    connections: 900,
    parts: [once(check)],
    descriptors: DESCRIPTORS,
  },
  {
    name: 'connections of peers without a byte',
    endpoint: 'peers',
    connections: 900,
    parts: [],
    descriptors: DESCRIPTORS,
  },
];

const otherEndpoints: readonly CrowdCase[] = [
  {
    name: '20,000 checks, no response read',
    endpoint: 'readiness',
    connections: 60,
    parts: [many(check, 20_000)],
    reader: 'readsNothing',
  },
  {
    name: '20,000 scrapes, no response read',
    endpoint: 'metrics',
    connections: 60,
    parts: [many(scrape, 20_000)],
    reader: 'readsNothing',
  },
  {
    name: 'scrapes in short fields, without their end',
    endpoint: 'metrics',
    connections: 900,
    parts: [once('GET /metrics HTTP/1.1\r\n'), many('a:b\r\n', 1_900)],
  },
  {
    name: 'bodies of 4 MiB in chunks of one byte',
    endpoint: 'readiness',
    connections: 100,
    parts: createChunks('GET /v1/ready HTTP/1.1\r\nhost: checks.example\r\n', 1, 4_000_000),
  },
  {
    name: 'heads of HTTP/1.1 for peers',
    endpoint: 'peers',
    connections: 900,
    parts: [once(RELAY_HEAD), many('a:b\r\n', 20_000)],
  },
  {
    name: 'parts of messages of 32 MiB for peers',
    endpoint: 'peers',
    connections: 20,
    ...createMessages(10, 2 * MEBIBYTE),
  },
  {
    name: 'parts of messages on many streams for peers',
    endpoint: 'peers',
    connections: 40,
    ...createMessages(200, 1),
  },
];

const stops: readonly CrowdCase[] = [
  {
    name: 'orders one after the other',
    connections: 40,
    parts: [many(smallOrder, 4_000)],
    isStopped: true,
  },
  {
    name: 'chunks of one byte',
    connections: 100,
    parts: createChunks(RELAY_HEAD, 1, 300_000),
    isStopped: true,
  },
];

const serve: readonly CrowdCase[] = [
  {
    name: '4,000 orders each',
    program: 'serve',
    connections: 40,
    parts: [many(serveOrder, 4_000)],
    reader: 'readsNothing',
  },
  {
    name: '4 MiB, one byte short',
    program: 'serve',
    connections: 150,
    parts: createBody(SERVE_HEAD, 4 * MEBIBYTE, 1),
  },
  {
    name: '300 KB in chunks of one byte',
    program: 'serve',
    connections: 100,
    parts: createChunks(SERVE_HEAD, 1, 300_000),
  },
  {
    name: '4 MiB in chunks for the administration API',
    program: 'serve',
    connections: 150,
    parts: createChunks(
      'POST /administration/v1/settings HTTP/1.1\r\nhost: shop.example\r\n' +
        'authorization: Bearer test-token-operator\r\ncontent-type: application/json\r\n',
      65_536,
      64,
    ),
  },
  {
    name: 'heads in short fields, without their end',
    program: 'serve',
    connections: 900,
    parts: [once(SERVE_HEAD), many('a:b\r\n', 1_900)],
  },
  {
    name: 'parts of messages of 32 MiB for peers',
    program: 'serve',
    endpoint: 'peers',
    connections: 20,
    ...createMessages(10, 2 * MEBIBYTE),
  },
  {
    name: 'connections without a byte',
    program: 'serve',
    connections: 900,
    parts: [],
    descriptors: DESCRIPTORS,
  },
];

const groups: Readonly<Record<string, readonly CrowdCase[]>> = {
  'requests one after the other': pipelined,
  heads,
  bodies,
  responses,
  descriptors,
  'other endpoints': otherEndpoints,
  'a host that stops': stops,
  serve,
};

/** Returns the flags of Node.js with which the deploy file starts an entry host. */
async function readNodeFlags(): Promise<readonly string[]> {
  const text = await readFile('deploy/system.toml', 'utf8');
  const [, command = ''] = /^run = "([^"]+)"$/m.exec(text) ?? [];
  return command.split(' ').filter((word) => word.startsWith('--'));
}

/** Sends one order on a new connection; returns the status, 0 without a response. */
function sendOrder(scene: Scene, id: string, bytes: number): Promise<number> {
  const { method, path, headers, body } = scene.createRequest(id, 'order');
  const sent = bytes === 0 ? body : 'x'.repeat(bytes);
  return new Promise((resolve) => {
    const outgoing = openRequest(
      {
        agent: false,
        host: '127.0.0.1',
        port: scene.ports.callers,
        method,
        path,
        headers: { ...headers, 'content-length': sent.length },
        timeout: ATTEMPT_TIMEOUT_MS,
      },
      (incoming) => {
        incoming.resume();
        incoming.once('end', () => resolve(incoming.statusCode ?? 0));
        incoming.once('error', () => resolve(0));
      },
    );
    outgoing.once('timeout', () => outgoing.destroy());
    outgoing.once('error', () => resolve(0));
    outgoing.end(sent);
  });
}

interface OrdinaryCaller {
  readonly scene: Scene;
  readonly program: Program;
  readonly name: string;
  readonly bytes: number;
}

/** Sends an order, again after a refusal, as an ordinary caller does, until it is served. */
async function sendUntilServed({ scene, program, name, bytes }: OrdinaryCaller): Promise<void> {
  const statuses: number[] = [];
  const startedAt = performance.now();
  while (statuses.at(-1) !== HTTP_OK) {
    expect(program.tryGetEnd()).toEqual(undefined);
    if (performance.now() - startedAt > ANSWER_TIMEOUT_MS) {
      throw new Error(`the order ${name} is not served: ${statuses.join()}`);
    }
    statuses.push(await sendOrder(scene, `${name}-${statuses.length}`, bytes));
    await sleep(RETRY_DELAY_MS);
  }
}

async function waitUntilReady(scene: Scene, program: Program): Promise<void> {
  const startedAt = performance.now();
  while (!(await scene.isReady())) {
    expect(program.tryGetEnd()).toEqual(undefined);
    expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
    await sleep(20);
  }
}

describe('callers that do not behave', { concurrency: 1 }, () => {
  let folder: string;
  let flags: readonly string[];

  before(async () => {
    folder = await bundlePrograms('crowd-test');
    flags = await readNodeFlags();
  });

  async function play(crowdCase: CrowdCase): Promise<void> {
    const { program: kind = 'entryHost', endpoint = 'callers', orderBytes = 0 } = crowdCase;
    const { isStopped = false } = crowdCase;
    const memoryMegabytes = kind === 'serve' ? SERVE_MEMORY : RELAY_MEMORY;
    const scene = await createScene({ ...crowdCase, program: kind, folder, memoryMegabytes });
    const program = startProgram({ words: [...flags, ...scene.words] });
    const endWatch = watchProcess(program.processId, Object.values(scene.ports));
    let crowd: ReturnType<typeof startCrowd> | undefined;
    try {
      await waitUntilReady(scene, program);
      const port = scene.ports[endpoint] ?? 0;
      const plan: Crowd =
        'kind' in crowdCase
          ? { ...crowdCase, port }
          : { kind: 'bytes', reader: 'reads', ...crowdCase, port };
      crowd = startCrowd(plan);
      await crowd.settled;
      if (isStopped) {
        program.sendSignal('SIGTERM');
        expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
      } else {
        const caller = { scene, program, bytes: orderBytes };
        await sendUntilServed({ ...caller, name: 'beside' });
        await crowd.leave();
        await sendUntilServed({ ...caller, name: 'after' });
      }
      const peaks = endWatch();
      expect(program.tryGetEnd()).toEqual(isStopped ? { kind: 'exited', code: 0 } : undefined);
      expect(peaks.memoryMegabytes).toBeLessThan(memoryMegabytes);
      expect(peaks.descriptors).toBeLessThan(crowdCase.descriptors ?? Infinity);
    } finally {
      const peaks = endWatch();
      if (process.env.CROWD_REPORT === '1') {
        process.stdout.write(
          `# ${crowdCase.name}: ${JSON.stringify({ ...peaks, end: program.tryGetEnd() })}\n`,
        );
      }
      await crowd?.leave();
      program.sendSignal('SIGKILL');
      await program.ended;
      await scene.close();
    }
  }

  Object.entries(groups).forEach(([group, cases]) =>
    cases.forEach((crowdCase) =>
      // Guards against memory, descriptors and work without a bound that callers cause together.
      it(`${group}: ${crowdCase.name}`, { ...TIMEOUT, todo: crowdCase.todo }, () =>
        play(crowdCase),
      ),
    ),
  );
});
