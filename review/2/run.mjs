/* eslint-disable no-await-in-loop, no-restricted-syntax, no-void -- a script of steps in time */
/**
 * Two entry hosts before engines whose answers have no length and end with their connection, as the
 * pages allow. For some seconds a small share of the answers of some engines is broken off: the
 * engine resets the connection in the middle of the answer. Judged: MIXED (what is reset on the way
 * is not complete) and ORDER for streams.
 */
import { clearInterval, setInterval } from 'node:timers';
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { HOST_NAME, configuration, createEntry } from '../stand-ins/configuration.mjs';
import { sleep, startHost, waitUntilReady } from '../stand-ins/hosts.mjs';
import createRecord from '../stand-ins/record.mjs';
import createStore from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** `garble` of the site file: 0.6 of the servers, 0.03 of their answers, 5 s. */
const BAD_ENGINES = 3;
const ENGINES_PER_SERVICE = 5;
const BROKEN_SHARE = 0.03;
const TROUBLE_MS = 5_000;
const CALM_MS = 4_000;
const ROUNDS = 3;
const REQUESTS_PER_S = 90;
const WORK_MS = 40;
const GAP_MS = 15;
const PIECES = 8;

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const store = await createStore();
/** What the engine's whole body is, by request; and how often each request ran. */
const bodies = new Map();
const runs = new Map();
const brokenOff = new Set();
let isTroubled = false;
let answers = 0;

/** Returns true for every 1 / BROKEN_SHARE-th answer of the engines concerned. */
function mustBreakOff(index) {
  if (!isTroubled || index >= BAD_ENGINES) {
    return false;
  }
  answers += 1;
  return answers % Math.round(1 / BROKEN_SHARE) === 0;
}

function createPieces(requestId, isStream) {
  return isStream
    ? Array.from(
        { length: PIECES },
        (_, number) => `id: ${number + 1}\ndata: ${requestId} ${number}\n\n`,
      )
    : [`booked ${requestId} `, 'x'.repeat(400), 'y'.repeat(400)];
}

async function answer(socket, index, requestId, isStream) {
  const pieces = createPieces(requestId, isStream);
  bodies.set(requestId, pieces.join(''));
  runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  await sleep(WORK_MS);
  const type = isStream ? 'text/event-stream' : 'text/plain';
  const head =
    `HTTP/1.1 200 OK\r\nX-Rattanreel-Request-Id: ${requestId}\r\nContent-Type: ${type}\r\n` +
    `X-Rattanreel-Response-Seal: seal-${requestId}\r\nConnection: close\r\n\r\n`;
  const isBrokenOff = mustBreakOff(index);
  const end = isBrokenOff ? Math.floor(pieces.length / 2) : pieces.length;
  socket.write(head);
  for (const piece of pieces.slice(0, end)) {
    socket.write(piece);
    if (isStream) {
      await sleep(GAP_MS);
    }
  }
  if (isBrokenOff) {
    brokenOff.add(requestId);
    record.add(`reset ${requestId} at engine ${index}, in the middle of its answer`);
    // The last bytes and the reset follow each other at once, as when a process is killed.
    socket.write(pieces[end].slice(0, isStream ? undefined : 10));
    socket.resetAndDestroy();
  } else {
    socket.end();
  }
}

/** One connection carries one request, since each answer ends with its connection. */
async function startEngine(service, index) {
  const id = `${service}-${index}`;
  const server = createServer((socket) => {
    let text = '';
    let isRead = false;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      const length = Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0);
      if (isRead || end < 0 || text.length < end + 4 + length) {
        return;
      }
      isRead = true;
      const requestId = /^x-rattanreel-request-id: (\S+)/im.exec(text)[1];
      const expected = /^x-rattanreel-expect-instance: (\S+)/im.exec(text)?.[1];
      record.add(`run ${requestId} at ${id}`);
      if (expected !== undefined && expected !== id) {
        socket.end(
          `HTTP/1.1 421 Misdirected Request\r\nX-Rattanreel-Request-Id: ${requestId}\r\n` +
            'X-Rattanreel-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n',
        );
        return;
      }
      void answer(socket, index, requestId, service === 'drafts');
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  const zone = index % 2 === 0 ? 'a' : 'b';
  store.put('servers', id, createEntry({ service, port, zone, born: Date.now() }));
}

store.put('config', 'main', configuration);
await Promise.all(
  ['order-book', 'drafts'].flatMap((service) =>
    Array.from({ length: ENGINES_PER_SERVICE }, (_, index) => startEngine(service, index)),
  ),
);
const first = await startHost({ folder, name: 'edge-a-1', zone: 'a', store });
const second = await startHost({
  folder,
  name: 'edge-b-1',
  zone: 'b',
  store,
  seeds: [first.control],
});
const hosts = [first, second];

function stopAll() {
  hosts.forEach((host) => host.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
}

const areReady = await Promise.all(hosts.map((host) => waitUntilReady(host)));
if (areReady.includes(false)) {
  stopAll();
  record.finish(2, 'the entry hosts did not become ready');
}

const PATHS = { order: '/order/2f', stock: '/stock/7', chat: '/chat/q' };
const results = [];

function send(number) {
  const kind = ['order', 'stock', 'chat'][number % 3];
  const id = `${kind}-${number}`;
  const host = hosts[Math.floor(number / 3) % hosts.length];
  record.add(`send ${id} to ${host.name}`);
  return new Promise((resolve) => {
    const end = (how) => {
      record.add(
        `answer ${id}: ${how.status} ${how.isComplete ? 'complete' : 'cut'}, ${how.body.length} bytes`,
      );
      results.push({ id, kind, ...how });
      resolve();
    };
    const outgoing = request(
      {
        host: '127.0.0.1',
        port: host.front,
        method: kind === 'stock' ? 'GET' : 'POST',
        path: PATHS[kind],
        agent: false,
        headers: {
          host: HOST_NAME,
          'x-rattanreel-request-id': id,
          'x-rattanreel-deadline-ms': '5000',
          ...(kind !== 'stock' && { 'content-length': '5' }),
        },
      },
      (incoming) => {
        let body = '';
        const status = incoming.statusCode;
        incoming.setEncoding('latin1');
        incoming.on('data', (text) => {
          body += text;
        });
        incoming.once('end', () => end({ status, body, isComplete: incoming.complete }));
        incoming.once('error', () => end({ status, body, isComplete: false }));
      },
    );
    outgoing.once('error', () => end({ status: 0, body: '', isComplete: false }));
    outgoing.end(kind === 'stock' ? undefined : 'bolts');
  });
}

const open = [];
let number = 0;
const timer = setInterval(() => {
  open.push(send(number));
  number += 1;
}, 1_000 / REQUESTS_PER_S);
for (let round = 0; round < ROUNDS; round += 1) {
  await sleep(CALM_MS);
  isTroubled = hasTrouble;
  record.add(`trouble begins: ${isTroubled}`);
  await sleep(TROUBLE_MS);
  isTroubled = false;
  record.add('trouble ends');
}
await sleep(CALM_MS);
clearInterval(timer);
await Promise.all(open);
stopAll();

const complete = results.filter(({ status, isComplete }) => status === 200 && isComplete);
const wrong = complete.filter(({ id, body }) => body !== bodies.get(id));
wrong.forEach(({ id, body }) =>
  record.add(`wrong ${id}: success, complete, ${body.length} of ${bodies.get(id).length} bytes`),
);
const count = (kind) => wrong.filter((each) => each.kind === kind).length;
record.finish(
  wrong.length > 0 ? 1 : 0,
  `sent ${results.length}, complete successes ${complete.length}, broken off by engines ` +
    `${brokenOff.size}; successes that looked complete and were not: orders ${count('order')}, ` +
    `lookups ${count('stock')}, streams ${count('chat')}`,
);
