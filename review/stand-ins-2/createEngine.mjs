/**
 * An engine, as PROTOCOL.md has it: `slots` requests at a time and a short queue, the identity check,
 * and a start of its own with each `start`. While it is cold it bears `coldRate` requests a second and
 * ends at a rate well above that, with what it has in hand.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

const QUEUE = 24;
const SECOND_MS = 1_000;

export default function createEngine(options) {
  const { id, service, zone, version = 'v1', slots, workMs, record, store, host } = options;
  const { coldMs = 0, coldRate = 0, isBad = () => false } = options;
  let port = 0;
  let server;
  let bornAt = 0;
  let isDraining = false;
  let hasLeft = false;
  let calls = 0;
  let beat;
  let running = new Set();
  let waiting = [];
  /** Times at which requests came while the engine was cold. */
  let coldArrivals = [];

  const coldLeft = () => Math.max(bornAt + coldMs - Date.now(), 0);

  /** Writes the entry, as every beat does; a store that is down refuses it. */
  function writeEntry() {
    calls += 1;
    if (store.isDown()) {
      return;
    }
    store.put('servers', id, {
      spec: {
        service,
        addr: `${host}:${port}`,
        zone,
        version,
        slots,
        state: isDraining ? 'draining' : 'ready',
        'cold-left-ms': coldLeft(),
        'call-seq': calls,
        born: bornAt,
      },
    });
  }

  function answer(outgoing, status, requestId, headers = {}, body = '') {
    if (outgoing.destroyed) {
      return;
    }
    outgoing.writeHead(status, {
      'x-rattanreel-request-id': requestId,
      'x-rattanreel-engine-load': `${running.size},${waiting.length},${slots}`,
      'content-length': Buffer.byteLength(body),
      ...headers,
    });
    outgoing.end(body);
  }

  function run({ requestId, url, outgoing }) {
    record('run', { id: requestId, engine: id, version, cold: coldLeft() > 0 });
    const job = { requestId };
    running.add(job);
    job.timer = setTimeout(() => {
      running.delete(job);
      const seal = { 'x-rattanreel-response-seal': `${id}.${requestId}` };
      const bad = isBad(url);
      record('done', { id: requestId, engine: id, version, bad });
      answer(outgoing, bad ? 500 : 200, requestId, seal, bad ? 'failed' : 'x'.repeat(200));
      const next = waiting.shift();
      if (next !== undefined) {
        run(next);
      }
    }, workMs());
  }

  function end(cause) {
    const lost = [...running].map(({ requestId }) => requestId);
    record('engine ends', { engine: id, cause, lost: lost.length });
    running.forEach(({ timer }) => clearTimeout(timer));
    running = new Set();
    waiting = [];
    clearTimeout(beat);
    beat = undefined;
    server?.close();
    server?.closeAllConnections();
    server = undefined;
    options.onEnd?.(id, cause, lost);
  }

  function handle(incoming, outgoing) {
    incoming.resume();
    if (incoming.url === '/health') {
      outgoing.writeHead(isDraining ? 503 : 200, {
        'x-rattanreel-instance-id': id,
        'x-rattanreel-engine-load': `${running.size},${waiting.length},${slots}`,
        ...(coldLeft() > 0 ? { 'x-rattanreel-cold-ms': String(coldLeft()) } : {}),
        'content-length': 0,
      });
      outgoing.end();
      return;
    }
    const requestId = incoming.headers['x-rattanreel-request-id'];
    const expected = incoming.headers['x-rattanreel-expect-instance'];
    if (expected !== undefined && expected !== id) {
      answer(outgoing, 421, requestId, { 'x-rattanreel-instance-id': id });
      return;
    }
    const isCold = coldLeft() > 0;
    record('arrival', { id: requestId, engine: id, version, cold: isCold });
    options.onArrival?.({ id, version, isCold });
    if (isCold && coldRate > 0) {
      const now = Date.now();
      coldArrivals = [...coldArrivals.filter((at) => now - at < SECOND_MS), now];
      if (coldArrivals.length > coldRate * 2) {
        outgoing.destroy();
        end('too many requests while cold');
        return;
      }
    }
    const request = { requestId, url: incoming.url, outgoing };
    if (running.size < slots) {
      run(request);
    } else if (waiting.length < QUEUE) {
      waiting.push(request);
    } else {
      answer(outgoing, 503, requestId, { 'x-rattanreel-not-executed': '1' });
    }
  }

  function beatOn() {
    writeEntry();
    beat = setTimeout(beatOn, 1_200);
  }

  return {
    id,
    version,
    isUp: () => server !== undefined,
    getBorn: () => bornAt,
    getColdUntil: () => bornAt + coldMs,
    /** Starts a process of the engine, at the address that it had if it had one. */
    async start({ isWarm = false } = {}) {
      bornAt = isWarm ? Date.now() - coldMs : Date.now();
      calls = 0;
      coldArrivals = [];
      server = createServer(handle);
      server.keepAliveTimeout = 5_000;
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      });
      ({ port } = server.address());
      record('engine starts', { engine: id, version, cold: coldLeft() });
      beatOn();
    },
    crash: () => end('killed'),
    drain() {
      isDraining = true;
      writeEntry();
    },
    leave() {
      hasLeft = true;
      store.remove('servers', id);
    },
    stop() {
      if (server !== undefined) {
        end(hasLeft ? 'left' : 'stopped');
      }
    },
  };
}
