import { createServer } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import listenOnAddress from './listenOnAddress';
import type { ListenEndpoint, ListenOperation } from './types';

const ADDRESS = '127.0.0.1:0';

interface Line {
  readonly message: string;
  readonly fields: { readonly code?: string; readonly left?: number };
}

/** A server whose first attempts to listen fail with these codes. */
function createFailingServer(codes: readonly string[]) {
  const server = createServer();
  const listen = server.listen.bind(server) as (options: object) => typeof server;
  const rest = [...codes];
  const attemptedAt: number[] = [];
  return {
    server,
    attemptedAt,
    failWith(now: () => number): void {
      server.listen = ((options: object) => {
        attemptedAt.push(now());
        const code = rest.shift();
        if (code === undefined) {
          return listen(options);
        }
        process.nextTick(() => server.emit('error', Object.assign(new Error(code), { code })));
        return server;
      }) as typeof server.listen;
    },
  };
}

function start(codes: readonly string[], address = ADDRESS) {
  const clock = createVirtualClock();
  const failing = createFailingServer(codes);
  failing.failWith(clock.now);
  const stop = new AbortController();
  const lines: Line[] = [];
  const failures: [ListenEndpoint, ListenOperation][] = [];
  const log = (fields: object, message: string): void => {
    lines.push({ fields, message });
  };
  const result = listenOnAddress({
    server: failing.server,
    endpoint: 'callers',
    address,
    clock,
    random: createRandom(7),
    logger: { info: log, warn: log, error: log },
    signal: stop.signal,
    countFailure: (...failure) => failures.push(failure),
  });
  return { ...failing, clock, stop, lines, failures, result };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

const temporary = [
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAI_AGAIN',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
];
const permanent = [
  { code: 'EACCES', kind: 'addressRefused' },
  { code: 'EPERM', kind: 'addressRefused' },
  { code: 'EINVAL', kind: 'invalidAddress' },
  { code: 'ENOTFOUND', kind: 'invalidAddress' },
];

describe(listenOnAddress.name, () => {
  temporary.forEach((code) => {
    // Guards against a process that ends for an error that passes.
    it(`listens on the same server after ${code}`, async () => {
      const { server, clock, result, lines, failures } = start([code, code]);
      for (let attempt = 0; attempt < 2; attempt += 1) {
        await settle();
        clock.advance(250);
      }
      const listened = await result;
      expect(listened.kind).toEqual('ok');
      expect(failures.length).toEqual(2);
      expect(lines.map(({ message }) => message)).toEqual([
        'address not available, retrying',
        'listening',
      ]);
      server.close();
    });
  });

  permanent.forEach(({ code, kind }) => {
    // Guards against a process that waits for an address that it can never use, and says nothing.
    it(`fails with ${kind} after ${code}`, async () => {
      const { result, lines } = start([code]);
      expect(await result).toEqual({
        kind: 'error',
        error: { kind, endpoint: 'callers', address: ADDRESS, code } as never,
      });
      expect(lines.map(({ message }) => message)).toEqual(['address cannot be used']);
    });
  });

  ['127.0.0.1', '127.0.0.1:', '127.0.0.1:x', '127.0.0.1:65536', ''].forEach((address) => {
    // Guards against an address without a port, which Node.js takes for any free port.
    it(`fails with invalidAddress for ${JSON.stringify(address)}`, async () => {
      const outcome = await start([], address).result;
      expect(outcome.kind === 'error' && outcome.error.kind).toEqual('invalidAddress');
    });
  });

  // Guards against a freed port that stays unused, attempts without a pause, and a line for each.
  it('tries again within 250 ms, and logs at most once in 5 s', async () => {
    const { clock, attemptedAt, lines, stop, result } = start(
      Array.from({ length: 200 }, () => 'EADDRINUSE'),
    );
    while (clock.now() < 12_000) {
      await settle();
      clock.runNext();
    }
    stop.abort();
    await result;
    const delays = attemptedAt.slice(1).map((at, index) => at - attemptedAt[index]!);
    expect(Math.max(...delays)).toBeLessThanOrEqual(250);
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(10);
    expect(attemptedAt.length).toBeLessThan(110);
    expect(lines.length).toEqual(3);
  });

  // Guards against a process that does not end while it waits for an address.
  it('stops at once when the signal is aborted', async () => {
    const { stop, result, clock, server } = start(['EADDRINUSE', 'EADDRINUSE']);
    await settle();
    stop.abort();
    expect((await result) as unknown).toEqual({
      kind: 'error',
      error: { kind: 'stopped', endpoint: 'callers', address: ADDRESS },
    });
    expect(clock.runNext()).toEqual(false);
    expect(server.listening).toEqual(false);
  });

  // Guards against a server that listens although the process stops.
  it('does not listen if the signal is aborted during an attempt', async () => {
    const { stop, result, server } = start([]);
    stop.abort();
    expect((await result).kind).toEqual('error');
    await settle();
    expect(server.listening).toEqual(false);
  });

  // Guards against a process that ends, or says nothing, when a connection cannot be accepted.
  it('logs and counts errors of the listening server', async () => {
    const { result, server, clock, lines, failures } = start([]);
    await result;
    const fail = (): void => {
      server.emit('error', Object.assign(new Error('accept'), { code: 'EMFILE' }));
    };
    fail();
    fail();
    clock.advance(5_000);
    fail();
    expect(failures.map(([, operation]) => operation)).toEqual(['accept', 'accept', 'accept']);
    expect(lines.slice(1).map(({ fields }) => [fields.code, fields.left])).toEqual([
      ['EMFILE', 0],
      ['EMFILE', 1],
    ]);
    server.close();
  });
});
