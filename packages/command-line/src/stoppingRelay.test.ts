import { appendFile } from 'node:fs/promises';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import createRelayScene from '@rattanreel/platform-adapter/testing/relayScene';
import findFreePorts from './demo/findFreePorts';
import bundlePrograms from './testing/bundlePrograms';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';

const START_TIMEOUT_MS = 15_000;
const GRACE_PERIOD_SECONDS = 4;
const CALLERS = 6;
const HTTP_OK = 200;
const HTTP_NOT_RUN = 503;
const MILLISECONDS_PER_SECOND = 1_000;

describe('a process of `serve-platform` that stops', { concurrency: 2 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('stopping-relay-test');
  });

  const kinds = ['order', 'read'] as const;
  kinds.forEach((kind) => {
    // Guards against passing on a request after the signal that outlasts the host.
    it(`passes on no ${kind} that it has to end unanswered`, async () => {
      const scene = await createRelayScene({
        ports: await findFreePorts(4),
        gracePeriodSeconds: GRACE_PERIOD_SECONDS,
      });
      const program = startProgram({ words: [`${folder}/rattanreel.cjs`, ...scene.words] });
      try {
        while (!(await scene.isReady())) {
          await sleep(20);
        }
        const callers = Array.from({ length: CALLERS }, (_, index) =>
          startCaller({ scene, name: `caller-${index}`, kind }),
        );
        await sleep(1_000);
        program.sendSignal('SIGTERM');
        await sleep(200);
        const begunBefore = new Set(scene.listBegun());
        scene.setWorkDuration(GRACE_PERIOD_SECONDS * MILLISECONDS_PER_SECOND);
        expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
        const results = (await Promise.all(callers.map(({ stop }) => stop()))).flat();
        const begun = scene.listBegun();
        const unanswered = results.filter(
          ({ request, status }) => begun.has(request) && status !== HTTP_OK,
        );
        expect(unanswered).toEqual([]);
        expect(results.some(({ status }) => status === HTTP_NOT_RUN)).toEqual(true);
        expect(begunBefore.size).toBeGreaterThan(CALLERS);
      } finally {
        program.sendSignal('SIGKILL');
        await program.ended;
        await scene.close();
      }
    });
  });

  const shortStops = [
    { gracePeriodSeconds: 1, workDuration: 7_000, status: 502 },
    { gracePeriodSeconds: 2, workDuration: 7_000, status: 502 },
    { gracePeriodSeconds: 2, workDuration: 800, status: HTTP_OK },
    { gracePeriodSeconds: 3, workDuration: 7_000, status: 502 },
  ];
  shortStops.forEach(({ gracePeriodSeconds, workDuration, status }) => {
    const name = `${gracePeriodSeconds} s beside a request of ${workDuration} ms`;
    // Guards against a stop that times out since connections are accepted for longer than that.
    it(`ends within a grace period of ${name}`, async () => {
      const ports = await findFreePorts(4);
      const scene = await createRelayScene({ ports, gracePeriodSeconds, workDuration });
      const program = startProgram({ words: [`${folder}/rattanreel.cjs`, ...scene.words] });
      try {
        const startedAt = performance.now();
        while (!(await scene.isReady())) {
          expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
          await sleep(20);
        }
        const caller = startCaller({ scene, name: 'read', kind: 'read' });
        while (scene.listBegun().size === 0) {
          expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
          await sleep(5);
        }
        program.sendSignal('SIGTERM');
        expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
        const [result] = await caller.stop();
        expect(result).toEqual(expect.subset({ kind: 'responded', status }));
        const { cause } = await program.waitForLine('process ends');
        expect(cause).toEqual('stopRequested');
      } finally {
        program.sendSignal('SIGKILL');
        await program.ended;
        await scene.close();
      }
    });
  });

  const silences = [0, 400, 800, 1_200];
  silences.forEach((silence) => {
    // Guards against a store that does not respond and so holds a process beyond its grace period.
    it(`ends in time with a store that is silent since ${silence} ms`, async () => {
      const scene = await createRelayScene({
        ports: await findFreePorts(4),
        gracePeriodSeconds: GRACE_PERIOD_SECONDS,
        workDuration: 7_000,
      });
      await appendFile(
        scene.settingsFile,
        `cloud-api.addr=${scene.store.address}\ncloud-api.duties=usage\n`,
      );
      const program = startProgram({ words: [`${folder}/rattanreel.cjs`, ...scene.words] });
      try {
        await program.waitForLine('duty candidate changed');
        const startedAt = performance.now();
        while (!(await scene.isReady())) {
          expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
          await sleep(20);
        }
        const caller = startCaller({ scene, name: 'read', kind: 'read' });
        await sleep(500);
        scene.store.setUnresponsive(true);
        await sleep(silence);
        const stoppedAt = performance.now();
        program.sendSignal('SIGTERM');
        expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
        const duration = performance.now() - stoppedAt;
        const [result] = await caller.stop();
        expect(result).toEqual(expect.subset({ kind: 'responded', status: 502 }));
        expect(duration).toBeLessThan(GRACE_PERIOD_SECONDS * MILLISECONDS_PER_SECOND);
      } finally {
        program.sendSignal('SIGKILL');
        await program.ended;
        await scene.close();
      }
    });
  });
});
