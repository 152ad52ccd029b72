/* eslint-disable no-await-in-loop -- a script of steps in time */
/**
 * Three entry hosts serve steady traffic on kept connections. Another writer puts an entry whose
 * address holds a byte that cannot be read beside the entries of four sound engines. Nothing else
 * is disturbed. Judged: LOST and the fault of processes that end by themselves.
 */
import { setTimeout } from 'node:timers';
import { mkdtempSync, rmSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { HOST_NAME, configuration, createEntry } from '../stand-ins/configuration.mjs';
import { sleep, startHost, waitUntilReady } from '../stand-ins/hosts.mjs';
import createRecord from '../stand-ins/record.mjs';
import createStore from '../stand-ins/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ENGINES = 4;
const CLIENTS_PER_HOST = 8;
const WORK_MS = 60;
const CALM_MS = 5_000;
const TROUBLE_MS = 25_000;
/** The platform starts a process that ended again after a short delay. */
const RESTART_DELAY_MS = 1_000;
/** The rule LOST allows this many. */
const ALLOWED_LOST = 3;
/** The rule Fault: so many ends of its own, on so many machines at least. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;

/** What JSON text holds in place of a byte that can't be read. */
const UNREADABLE = '\uFFFD';

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));
const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const store = await createStore();
const passedOn = new Set();

async function startEngine(index) {
  const id = `i-${index}`;
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on('end', () => {
      const requestId = incoming.headers['x-rattanreel-request-id'];
      const expected = incoming.headers['x-rattanreel-expect-instance'];
      if (expected !== undefined && expected !== id) {
        outgoing.writeHead(421, {
          'x-rattanreel-request-id': requestId,
          'x-rattanreel-not-executed': '1',
        });
        outgoing.end();
        return;
      }
      passedOn.add(requestId);
      record.add(`run ${requestId} at ${id}`);
      setTimeout(() => {
        outgoing.writeHead(200, {
          'x-rattanreel-request-id': requestId,
          'x-rattanreel-response-seal': `seal-${requestId}`,
          'content-length': 6,
        });
        outgoing.end('booked');
      }, WORK_MS);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const entry = createEntry({
    service: 'order-book',
    port: server.address().port,
    zone: index % 2 === 0 ? 'a' : 'b',
    born: Date.now(),
  });
  store.put('servers', id, entry);
}

store.put('config', 'main', configuration);
await Promise.all(Array.from({ length: ENGINES }, (_, index) => startEngine(index)));

const ownEnds = new Map();
const hosts = [];
let isStopping = false;

/** Starts a host, and again each time that it ends by itself. */
async function keepRunning(slot, options) {
  const host = await startHost(options);
  hosts[slot] = host;
  host.exited.then(async (how) => {
    if (!isStopping) {
      ownEnds.set(host.name, (ownEnds.get(host.name) ?? 0) + 1);
      record.add(`end ${host.name} by itself: ${how}`);
      await sleep(RESTART_DELAY_MS);
      if (!isStopping) {
        await keepRunning(slot, { ...options, ports: host.ports, bootstrap: false });
        record.add(`start ${host.name} again`);
      }
    }
  });
  return host;
}

function stopAll() {
  isStopping = true;
  hosts.forEach((host) => host.kill('SIGKILL'));
  rmSync(folder, { recursive: true, force: true });
}

const first = await keepRunning(0, { folder, name: 'edge-a-1', zone: 'a', store });
await keepRunning(1, { folder, name: 'edge-b-1', zone: 'b', store, seeds: [first.control] });
await keepRunning(2, { folder, name: 'edge-a-2', zone: 'a', store, seeds: [first.control] });
const areReady = await Promise.all(hosts.map((host) => waitUntilReady(host)));
if (areReady.includes(false)) {
  stopAll();
  record.finish(2, 'the entry hosts did not become ready');
}

const counts = { sent: 0, answered: 0, lost: 0, unread: 0 };
const statuses = {};
let isSending = true;

/** One client with one kept connection, which sends one request after the other. */
async function runClient(host, name) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let number = 0; isSending; number += 1) {
    const isOrder = number % 2 === 0;
    const id = `${name}-${number}`;
    counts.sent += 1;
    record.add(`send ${id} to ${host.name}`);
    const status = await new Promise((resolve) => {
      const outgoing = request(
        {
          agent,
          host: '127.0.0.1',
          port: host.front,
          method: isOrder ? 'POST' : 'GET',
          path: isOrder ? '/order/2f' : '/stock/7',
          headers: {
            host: HOST_NAME,
            'x-rattanreel-request-id': id,
            'x-rattanreel-deadline-ms': '3000',
            ...(isOrder && { 'content-length': '5' }),
          },
        },
        (incoming) => {
          incoming.resume();
          incoming.once('end', () => resolve(incoming.statusCode));
          incoming.once('error', () => resolve(0));
        },
      );
      outgoing.once('error', () => resolve(0));
      outgoing.end(isOrder ? 'bolts' : undefined);
    });
    statuses[status] = (statuses[status] ?? 0) + 1;
    if (status !== 0) {
      counts.answered += 1;
      record.add(`answer ${id} ${status}`);
    } else if (passedOn.has(id)) {
      counts.lost += 1;
      record.add(`lost ${id}: passed on to a sound engine, closed without an answer`);
    } else {
      counts.unread += 1;
      await sleep(100);
    }
  }
  agent.destroy();
}

const clients = hosts.flatMap((host) =>
  Array.from({ length: CLIENTS_PER_HOST }, (_, index) => runClient(host, `${host.name}-c${index}`)),
);
await sleep(CALM_MS);
if (hasTrouble) {
  record.add('entry of another writer');
  store.put('servers', 'i-other', {
    ...createEntry({ service: 'order-book', port: 7_702, zone: 'a', born: Date.now() }),
    addr: `127.0.0.${UNREADABLE}:7702`,
  });
}
await sleep(TROUBLE_MS);
isSending = false;
await Promise.all(clients);
stopAll();
const ends = [...ownEnds].map(([name, count]) => `${name} ${count}`).join(', ');
const faulty = [...ownEnds.values()].filter((count) => count >= FAULT_ENDS).length;
const isBroken = counts.lost > ALLOWED_LOST || faulty >= FAULT_MACHINES;
record.finish(
  isBroken ? 1 : 0,
  `sent ${counts.sent}, answered ${counts.answered} (${JSON.stringify(statuses)}), passed on and ` +
    `closed without an answer ${counts.lost}, not read ${counts.unread}; processes that ended by ` +
    `themselves: ${ends || 'none'}`,
);
