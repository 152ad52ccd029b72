/* eslint-disable no-await-in-loop, no-void -- a script of steps in time */
/**
 * Two entry hosts serve orders and resumable streams. For some seconds three of five model engines send,
 * in a small share of their answers, an event that does not end. Judged: CONFIG (no answer half a
 * second after the route's timeout) for the orders, which no disruption touches.
 */
import { Buffer } from 'node:buffer';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { setInterval, clearInterval } from 'node:timers';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { HOST_NAME, configuration, createEntry } from '../stand-ins/configuration.mjs';
import { getStatus, sleep, startHost, waitUntilReady } from '../stand-ins/hosts.mjs';
import createRecord from '../stand-ins/record.mjs';
import createStore from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Within `garble` of the site file: 0.6 of the servers, 0.03 of their answers, 5 s. */
const BAD_ENGINES = 3;
const MODEL_ENGINES = 5;
const BOOK_ENGINES = 3;
const SPOILT_SHARE = 0.03;
const TROUBLE_MS = 5_000;
const CALM_MS = 5_000;
const ROUNDS = 3;
/** The bad engine sends no faster than a link of 140 Mbit/s carries. */
const ENDLESS_CHUNK = Buffer.alloc(65_536, 'x');
const ENDLESS_INTERVAL_MS = 4;
const WORK_MS = 60;
const GAP_MS = 20;
const EVENTS = 5;
const PER_S = 40;
/** Of `order-place` and `claim-sum`. */
const ORDER_TIMEOUT_MS = 1_500;
const ORDER_DEADLINE_MS = 3_000;
const NOTE_TIMEOUT_MS = 3_000;
/** The rule: no answer half a second after the timeout, more than half of those unanswered then. */
const LATE_MS = 500;
const FEWEST = 8;

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const store = await createStore();
let isTroubled = false;
let answers = 0;
let spoilt = 0;

function mustSpoil(service, index) {
  if (!isTroubled || service !== 'drafts' || index >= BAD_ENGINES) {
    return false;
  }
  answers += 1;
  return answers % Math.round(1 / SPOILT_SHARE) === 1;
}

/** Sends bytes of one event until the connection is closed. */
async function sendWithoutEnd(outgoing) {
  outgoing.write('id: 1\ndata: ');
  while (!outgoing.destroyed) {
    if (outgoing.writableLength < ENDLESS_CHUNK.length) {
      outgoing.write(ENDLESS_CHUNK);
    }
    await sleep(ENDLESS_INTERVAL_MS);
  }
}

async function startEngine(service, index, zone) {
  const id = `${service}-${index}`;
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on('end', async () => {
      const requestId = incoming.headers['x-rattanreel-request-id'];
      const own = { 'x-rattanreel-request-id': requestId };
      if (incoming.headers['x-rattanreel-expect-instance'] !== id) {
        outgoing.writeHead(421, { ...own, 'x-rattanreel-not-executed': '1' });
        outgoing.end();
        return;
      }
      record.add(`run ${requestId} at ${id}`);
      await sleep(WORK_MS);
      const sealed = { ...own, 'x-rattanreel-response-seal': `seal-${requestId}` };
      if (service === 'order-book') {
        outgoing.writeHead(200, { ...sealed, 'content-length': 6 });
        outgoing.end('booked');
        return;
      }
      outgoing.writeHead(200, { ...sealed, 'content-type': 'text/event-stream' });
      if (mustSpoil(service, index)) {
        spoilt += 1;
        record.add(`event without end in the answer to ${requestId}`);
        await sendWithoutEnd(outgoing);
        return;
      }
      const from = Number(incoming.headers['last-event-id'] ?? 0);
      for (let event = from + 1; event <= EVENTS && !outgoing.destroyed; event += 1) {
        outgoing.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
        await sleep(GAP_MS);
      }
      outgoing.end();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  store.put('servers', id, createEntry({ service, port, zone, born: Date.now() }));
}

const [order, , chat] = configuration.routes;
const note = { name: 'note', 'path-prefix': '/note/', resumable: true, 'max-attempts': 2 };
store.put('config', 'main', {
  ...configuration,
  routes: [
    { ...order, 'timeout-ms': ORDER_TIMEOUT_MS },
    { ...chat, ...note, 'timeout-ms': NOTE_TIMEOUT_MS },
  ],
});
const zones = ['a', 'b'];
await Promise.all([
  ...Array.from({ length: MODEL_ENGINES }, (_, index) =>
    startEngine('drafts', index, zones[index % 2]),
  ),
  ...Array.from({ length: BOOK_ENGINES }, (_, index) =>
    startEngine('order-book', index, zones[index % 2]),
  ),
]);
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

/** The platform asks once a second; a host that misses two questions gets no new connections. */
const misses = [0, 0];
let isRunning = true;
async function askForReadiness(slot) {
  while (isRunning) {
    const status = await Promise.race([
      getStatus(hosts[slot].readyUrl),
      sleep(1_000).then(() => 0),
    ]);
    misses[slot] = status === 200 ? 0 : misses[slot] + 1;
    await sleep(1_000);
  }
}
hosts.forEach((_, slot) => void askForReadiness(slot));

const results = [];

function send(number) {
  const isOrder = number % 2 === 0;
  const id = `${isOrder ? 'order' : 'note'}-${number}`;
  const usual = Math.floor(number / 2) % 2;
  const slot = misses[usual] < 2 ? usual : 1 - usual;
  record.add(`send ${id} to ${hosts[slot].name}`);
  return new Promise((resolve) => {
    const sentAt = Date.now();
    const end = (status) => {
      const tookMs = Date.now() - sentAt;
      record.add(`answer ${id}: ${status} after ${tookMs} ms`);
      results.push({ isOrder, id, status, tookMs });
      resolve();
    };
    const outgoing = request(
      {
        host: '127.0.0.1',
        port: hosts[slot].front,
        method: 'POST',
        path: isOrder ? '/order/2f' : '/note/q',
        agent: false,
        headers: {
          host: HOST_NAME,
          'x-rattanreel-request-id': id,
          'x-rattanreel-deadline-ms': String(isOrder ? ORDER_DEADLINE_MS : NOTE_TIMEOUT_MS),
          'content-length': '5',
        },
        timeout: ORDER_DEADLINE_MS,
      },
      (incoming) => {
        incoming.resume();
        incoming.once('end', () => end(incoming.statusCode));
        incoming.once('error', () => end(0));
      },
    );
    outgoing.once('timeout', () => outgoing.destroy());
    outgoing.once('error', () => end(0));
    outgoing.end('bolts');
  });
}

const open = [];
let number = 0;
const timer = setInterval(() => {
  open.push(send(number));
  number += 1;
}, 1_000 / PER_S);
for (let round = 0; round < ROUNDS; round += 1) {
  await sleep(CALM_MS);
  isTroubled = hasTrouble;
  record.add(`trouble: ${isTroubled}`);
  await sleep(TROUBLE_MS);
  isTroubled = false;
  record.add('trouble ends');
}
await sleep(CALM_MS);
clearInterval(timer);
await Promise.all(open);
isRunning = false;
stopAll();

const orders = results.filter(({ isOrder }) => isOrder);
const unanswered = orders.filter(({ tookMs }) => tookMs > ORDER_TIMEOUT_MS);
const late = unanswered.filter(({ tookMs }) => tookMs > ORDER_TIMEOUT_MS + LATE_MS);
const longest = Math.max(...results.map(({ tookMs }) => tookMs));
const isBroken = unanswered.length >= FEWEST && late.length > unanswered.length / 2;
record.finish(
  isBroken ? 1 : 0,
  `sent ${results.length}, orders ${orders.length}, events without end ${spoilt}; orders unanswered ` +
    `at their timeout ${unanswered.length}, of these half a second later ${late.length}; longest ` +
    `wait ${longest} ms; processes that ended: ${hosts.filter(({ ended }) => ended === 0).length}`,
);
