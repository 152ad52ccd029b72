import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Debug } from '@rattanreel/core';
import createPeerTransport from './createPeerTransport';
import type { PeerTask, PeerTransport } from './types';

const REPORTS = 100;
const REPORT = 'x'.repeat(100_000);

type TestTransport = PeerTransport<string, string, string, string, string>;

const cases = [
  { name: 'a peer that reads at once', pause: 0 },
  { name: 'a peer that reads late', pause: 500 },
];

describe('a transport that closes after a task', () => {
  cases.forEach(({ name, pause }) => {
    // Guards against responses that are cut when the host that sent the request for a peer ends.
    it(`has delivered all reports to ${name}`, { timeout: 10_000 }, async () => {
      let closed: Promise<void> | undefined;
      const create = async (entryHost: string): Promise<TestTransport> => {
        const outcome = await createPeerTransport<string, string, string, string, string>({
          identity: { entryHost, incarnation: `${entryHost}-1` },
          listenAddress: '127.0.0.1:0',
          security: { kind: 'plainLoopback' },
          onMessage: () => undefined,
          onQuestion: async () => '',
          onHandlerError: (_, error) => {
            throw error;
          },
          onTask(_, reporter) {
            Array.from({ length: REPORTS }, () => reporter.report(REPORT));
            reporter.end(() => {
              closed = right.close();
            });
            return () => undefined;
          },
        });
        return Debug.checkDefined(outcome.kind === 'ok' ? outcome.value : undefined, 'transport');
      };
      const left = await create('left');
      const right = await create('right');
      let received = 0;
      let task: PeerTask | undefined;
      const end = await new Promise<string>((resolve) => {
        const onProgress = (): void => {
          received += 1;
          if (received === 1 && pause > 0) {
            task?.pause();
            void sleep(pause).then(() => task?.resume());
          }
        };
        task = left.perform(right.address, 'task', { onProgress, onEnd: resolve }, 1_000);
      });
      expect([end, received, closed !== undefined]).toEqual(['ended', REPORTS, true]);
      await closed;
      await left.close();
    });
  });
});
