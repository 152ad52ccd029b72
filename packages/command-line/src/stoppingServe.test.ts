import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import startCaller from './testing/startCaller';
import withServeHost from './testing/withServeHost';
import type { ServeRun } from './testing/types';

const TIMEOUT = { timeout: 40_000 };
const GRACE_PERIOD_MS = 2_000;

const withHost = (workDuration: number, test: (run: ServeRun) => Promise<void>) =>
  withServeHost({ workDuration, gracePeriod: GRACE_PERIOD_MS }, test);

async function measure(action: () => Promise<unknown>): Promise<number> {
  const startedAt = performance.now();
  await action();
  return performance.now() - startedAt;
}

describe('a host of `serve` that stops', () => {
  // Guards against a stop that waits for callers that never leave their connections idle.
  it('ends while callers go on using their connections, and answers all', TIMEOUT, () =>
    withHost(300, async ({ scene, host }) => {
      const callers = Array.from({ length: 6 }, (_, index) =>
        startCaller({ scene, name: `read-${index}`, kind: 'read' }),
      );
      await sleep(1_000);
      const duration = await Promise.race([measure(host.stop), sleep(10_000, Infinity)]);
      const results = (await Promise.all(callers.map((caller) => caller.stop()))).flat();
      const begun = scene.listBegun();
      expect(duration).toBeLessThan(GRACE_PERIOD_MS);
      expect(
        results.filter(({ kind, request }) => kind === 'closed' && begun.has(request)),
      ).toEqual([]);
    }),
  );

  // Guards against running a pipelined request whose connection closes with an earlier response.
  it('answers pipelined requests in hand', TIMEOUT, () =>
    withHost(300, async ({ scene, host }) => {
      const { method, path, headers } = scene.createRequest('pipelined', 'read');
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
      const request = `${method} ${path} HTTP/1.1\r\nhost: h\r\n${lines.join('')}\r\n`;
      const socket = connect(scene.ports.callers!, '127.0.0.1');
      let text = '';
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString('latin1');
      });
      socket.write(request + request);
      await sleep(100);
      const stops = [host.stop(), host.stop()];
      expect(stops[0] === stops[1]).toEqual(true);
      await Promise.all(stops);
      socket.destroy();
      const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
      expect(statuses).toEqual(['200', '503']);
    }),
  );

  const kinds = ['read', 'order'] as const;
  kinds.forEach((kind) => {
    // Guards against a stop that takes as long as the slowest backend server, and against ending a
    // request without an answer.
    it(`answers a slow ${kind} at the end of its grace period`, TIMEOUT, () =>
      withHost(20_000, async ({ scene, host }) => {
        const caller = startCaller({ scene, name: kind, kind });
        await sleep(300);
        const duration = await measure(host.stop);
        const [result] = await caller.stop();
        expect(duration).toBeLessThan(GRACE_PERIOD_MS + 2_000);
        expect(result).toEqual(expect.subset({ kind: 'responded', status: 504 }));
      }),
    );
  });
});
