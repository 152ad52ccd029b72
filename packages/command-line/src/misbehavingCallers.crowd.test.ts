import { readFile } from 'node:fs/promises';
import { request as openRequest } from 'node:http';
import { connect } from 'node:net';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import relayRequests from '@rattanreel/platform-adapter/testing/relayRequests';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCrowd from './testing/crowd/startCrowd';
import type {
  Crowd,
  CrowdReader,
  MessageCrowd,
  Repeated,
  RunningCrowd,
} from './testing/crowd/types';
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
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
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
  /** Other crowds at the same time. */
  readonly beside?: readonly CrowdCase[];
  /** Size of the ordinary order. */
  readonly orderBytes?: number;
  readonly responseBytes?: number;
  readonly descriptors?: number;
  /** Whether the process gets the signal to stop while the crowd is there. */
  readonly isStopped?: boolean;
};

const { orderHead: RELAY_HEAD, read: RELAY_READ, check, checkHead } = relayRequests;
const SERVE_FIELDS =
  'host: shop.example\r\nauthorization: Bearer test-key-workshop\r\n' +
  'content-type: application/json\r\n';
const SERVE_HEAD = `POST /services/order-book/orders HTTP/1.1\r\n${SERVE_FIELDS}`;
const CHAT_HEAD = `POST /v1/chat/completions HTTP/1.1\r\n${SERVE_FIELDS}`;
/** Of an even number of bytes. */
const PROMPT_START = '{"model":"m","messages":[{"role":"user","content":"';

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
function createMessages(streams: number, sentBytes: number, method = 'Ask') {
  const path = `/rattanreel.Peer/${method}`;
  return { kind: 'messages' as const, path, streams, announcedBytes: 32 * MEBIBYTE, sentBytes };
}

const smallOrder = `${RELAY_HEAD}content-length: 5\r\n\r\nbolts`;
const largeOrder = `${RELAY_HEAD}content-length: 30000\r\n\r\n${'x'.repeat(30_000)}`;
const serveOrder = `${SERVE_HEAD}idempotency-key: crowd\r\ncontent-length: 2\r\n\r\n{}`;
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
  {
    name: 'trailers in short fields, without their end',
    connections: 600,
    parts: [...createChunks(RELAY_HEAD, 1, 1), once('0\r\n'), many('a:b\r\n', 10_000)],
  },
  {
    name: 'chunks with extensions',
    connections: 300,
    parts: [once(`${RELAY_HEAD}transfer-encoding: chunked\r\n\r\n`), many('1;a=b\r\nx\r\n', 2_000)],
  },
  {
    name: 'chunks that go on after their refusal',
    connections: 100,
    parts: createChunks(RELAY_HEAD, 65_536, 1_000),
    reader: 'readsNothing',
  },
  {
    name: 'targets of 60 KB, without the body',
    connections: 900,
    parts: createBody(RELAY_HEAD.replace('crowd', 'a'.repeat(60_000)), 5, 5),
  },
  {
    name: 'connections that come and go',
    connections: 300,
    parts: [once(RELAY_READ)],
    reader: 'leavesAndReturns',
    visits: 40,
  },
];

const [longHeads, shortFields] = heads as [CrowdCase, CrowdCase];
const allAtOnce: readonly CrowdCase[] = [
  {
    name: 'heads, bodies, chunks, requests one after the other',
    connections: 40,
    parts: [many(smallOrder, 4_000)],
    beside: [
      { ...longHeads, connections: 300 },
      { ...shortFields, connections: 300 },
      { name: 'bodies', connections: 100, parts: createBody(RELAY_HEAD, 4 * MEBIBYTE, 1) },
      { name: 'chunks', connections: 100, parts: createChunks(RELAY_HEAD, 1, 300_000) },
      { name: 'messages', endpoint: 'peers', connections: 10, ...createMessages(5, MEBIBYTE) },
    ],
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
    parts: createChunks(checkHead, 1, 4_000_000),
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
  {
    name: 'streams of messages for peers',
    endpoint: 'peers',
    connections: 100,
    ...createMessages(300, 1, 'Exchange'),
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
  {
    name: '`serve`, bodies one byte short',
    program: 'serve',
    connections: 100,
    parts: createBody(SERVE_HEAD, 60 * KIBIBYTE, 1),
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
    name: 'JSON of 4 MiB, nested',
    program: 'serve',
    connections: 10,
    parts: createBody(CHAT_HEAD, 4 * MEBIBYTE, 4 * MEBIBYTE).concat(
      many('[', 2 * MEBIBYTE),
      many(']', 2 * MEBIBYTE),
    ),
  },
  {
    name: 'prompts of 2 million words',
    program: 'serve',
    connections: 20,
    parts: [
      once(`${CHAT_HEAD}content-length: ${4 * MEBIBYTE}\r\n\r\n${PROMPT_START}`),
      many('a ', 2 * MEBIBYTE - PROMPT_START.length / 2 - 2),
      once('"}]}'),
    ],
  },
  {
    name: '20,000 scrapes, no response read',
    program: 'serve',
    connections: 60,
    parts: [many(scrape, 20_000)],
    reader: 'readsNothing',
  },
  {
    name: 'calls of peers',
    program: 'serve',
    endpoint: 'peers',
    connections: 100,
    ...createMessages(500, 1),
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
  'all at once': allAtOnce,
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
  const sent = body.padEnd(bytes);
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

interface CalmCase {
  readonly name: string;
  readonly programs: readonly ProgramKind[];
  readonly bytes: number;
  /** Size of the chunks; a body of known length if absent. */
  readonly chunkBytes?: number;
  /** Bytes after the size of a chunk, and after the last one. */
  readonly extension?: string;
  readonly trailers?: string;
  /** Further header fields. */
  readonly fields?: string;
}

const both: readonly ProgramKind[] = ['entryHost', 'serve'];
const calmCases: readonly CalmCase[] = [
  { name: 'the largest body', programs: both, bytes: 4 * MEBIBYTE },
  { name: 'the largest body in chunks', programs: both, bytes: 4 * MEBIBYTE, chunkBytes: MEBIBYTE },
  { name: '1 MiB in chunks of 16 bytes', programs: both, bytes: MEBIBYTE, chunkBytes: 16 },
  { name: '300 KB in chunks of one byte', programs: both, bytes: 300_000, chunkBytes: 1 },
  {
    name: 'a chunk with an extension, and trailers',
    programs: both,
    bytes: 300,
    chunkBytes: 300,
    extension: ';a=b',
    trailers: 'a: b\r\n'.repeat(100),
  },
  { name: '1,500 header fields', programs: both, bytes: 300, fields: 'a: b\r\n'.repeat(1_500) },
];

/** Sends one order in the form of a case over a plain socket; returns the first line that it reads. */
function sendCalmOrder(scene: Scene, calmCase: CalmCase): Promise<string> {
  const { bytes, chunkBytes, extension = '', trailers = '', fields = '' } = calmCase;
  const { method, path, headers } = scene.createRequest('calm', 'order');
  const names = Object.entries({ host: 'shop.example', ...headers })
    .filter(([name]) => name !== 'content-length')
    .map(([name, value]) => `${name}: ${value}\r\n`);
  const body = `{"reference":"calm","item":"hulls","quantity":1}`.padEnd(bytes);
  const head = `${method} ${path} HTTP/1.1\r\n${names.join('')}${fields}`;
  const socket = connect(scene.ports.callers ?? 0, '127.0.0.1');
  if (chunkBytes === undefined) {
    socket.write(`${head}content-length: ${bytes}\r\n\r\n${body}`);
  } else {
    const pieces = body.match(new RegExp(`.{1,${chunkBytes}}`, 'g')) ?? [];
    const chunks = pieces.map((text) => `${text.length.toString(16)}${extension}\r\n${text}\r\n`);
    const end = `0\r\n${trailers}\r\n`;
    socket.write(`${head}transfer-encoding: chunked\r\n\r\n${chunks.join('')}${end}`);
  }
  return new Promise((resolve) => {
    socket.once('data', (data) => {
      socket.destroy();
      resolve(data.toString('latin1').split('\r\n', 1)[0] ?? '');
    });
    socket.once('error', ({ message }) => resolve(message));
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

function createPlan(form: CrowdCase, scene: Scene): Crowd {
  const port = scene.ports[form.endpoint ?? 'callers'] ?? 0;
  return 'kind' in form ? { ...form, port } : { kind: 'bytes', reader: 'reads', ...form, port };
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
    const { program: kind = 'entryHost', orderBytes = 0 } = crowdCase;
    const { isStopped = false } = crowdCase;
    const memoryMegabytes = kind === 'serve' ? SERVE_MEMORY : RELAY_MEMORY;
    const scene = await createScene({ ...crowdCase, program: kind, folder, memoryMegabytes });
    const program = startProgram({ words: [...flags, ...scene.words] });
    const endWatch = watchProcess(program.processId, Object.values(scene.ports));
    let crowds: readonly RunningCrowd[] = [];
    try {
      await waitUntilReady(scene, program);
      crowds = [crowdCase, ...(crowdCase.beside ?? [])].map((form) =>
        startCrowd(createPlan(form, scene)),
      );
      await Promise.all(crowds.map(({ settled }) => settled));
      if (isStopped) {
        program.sendSignal('SIGTERM');
        expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
      } else {
        const caller = { scene, program, bytes: orderBytes };
        await sendUntilServed({ ...caller, name: 'beside' });
        await Promise.all(crowds.map(({ leave }) => leave()));
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
      await Promise.all(crowds.map(({ leave }) => leave()));
      program.sendSignal('SIGKILL');
      await program.ended;
      await scene.close();
    }
  }

  /** Runs a test with a program that is ready, without a crowd. */
  async function withProgram(kind: ProgramKind, test: (scene: Scene) => Promise<void>) {
    const memoryMegabytes = kind === 'serve' ? SERVE_MEMORY : RELAY_MEMORY;
    const scene = await createScene({ program: kind, folder, memoryMegabytes });
    const program = startProgram({ words: [...flags, ...scene.words] });
    try {
      await waitUntilReady(scene, program);
      await test(scene);
    } finally {
      program.sendSignal('SIGKILL');
      await program.ended;
      await scene.close();
    }
  }

  calmCases.forEach((calmCase) =>
    calmCase.programs.forEach((kind) =>
      // Guards against limits that a single caller within the configuration meets.
      it(`in calm, ${kind}: ${calmCase.name}`, TIMEOUT, () =>
        withProgram(kind, async (scene) => {
          expect(await sendCalmOrder(scene, calmCase)).toMatchRegex(/^HTTP\/1\.1 20[01] /);
        }),
      ),
    ),
  );

  both.forEach((kind) =>
    // Guards against a refusal of a request that was passed on.
    it(`refusals, ${kind}: were not run`, TIMEOUT, () =>
      withProgram(kind, async (scene) => {
        const ids = Array.from({ length: 60 }, (_, index) => `large-${index}`);
        const statuses = await Promise.all(ids.map((id) => sendOrder(scene, id, 4 * MEBIBYTE)));
        const refused = ids.filter((_, index) => NOT_RUN.has(statuses[index] ?? 0));
        expect(refused.length).toBeGreaterThan(0);
        expect(refused.filter((id) => scene.listBegun().has(id))).toEqual([]);
      }),
    ),
  );

  Object.entries(groups).forEach(([group, cases]) =>
    cases.forEach((crowdCase) =>
      // Guards against memory, descriptors and work without a bound that callers cause together.
      it(`${group}: ${crowdCase.name}`, { ...TIMEOUT, todo: crowdCase.todo }, () =>
        play(crowdCase),
      ),
    ),
  );
});
