import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import createRelayScene from '@rattanreel/platform-adapter/testing/relayScene';
import findFreePorts from './demo/findFreePorts';
import bundlePrograms from './testing/bundlePrograms';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';
import type { Program } from './testing/types';

const CALLERS = 24;
const HTTP_OK = 200;
const DISTURBANCE_MS = 9_000;
/** Time from the end of a disturbance in which usual service begins again. */
const RECOVERY_MS = 5_000;
const OBSERVED_MS = 2_000;
/** Beyond the objective of the routes, and well within their timeout. */
const SLOW_WORK_MS = 4_000;

type Scene = Awaited<ReturnType<typeof createRelayScene>>;

interface RecoveryCase {
  readonly name: string;
  readonly kind: 'order' | 'read';
  readonly disturb: (scene: Scene, program: Program) => Promise<void>;
}

async function slowDown(scene: Scene): Promise<void> {
  scene.setWorkDuration(SLOW_WORK_MS);
  await sleep(DISTURBANCE_MS);
  scene.setWorkDuration(20);
}

async function pause(_: Scene, program: Program): Promise<void> {
  program.sendSignal('SIGSTOP');
  await sleep(DISTURBANCE_MS);
  program.sendSignal('SIGCONT');
}

const cases: readonly RecoveryCase[] = [
  { name: 'orders after a slow server', kind: 'order', disturb: slowDown },
  { name: 'reads after a slow server', kind: 'read', disturb: slowDown },
  { name: 'orders after a pause of the host', kind: 'order', disturb: pause },
];

describe('a process of `serve-platform` after a disturbance', { concurrency: 3 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('recovering-relay-test');
  });

  cases.forEach(({ name, kind, disturb }) => {
    // Guards against an idle host that refuses all on an estimate which only responses can move.
    it(`serves ${name}`, async () => {
      const scene = await createRelayScene({ ports: await findFreePorts(4) });
      const program = startProgram({ words: [`${folder}/rattanreel.cjs`, ...scene.words] });
      try {
        while (!(await scene.isReady())) {
          await sleep(20);
        }
        const callers = Array.from({ length: CALLERS }, (_, index) =>
          startCaller({ scene, name: `caller-${index}`, kind }),
        );
        await sleep(1_000);
        await disturb(scene, program);
        await sleep(RECOVERY_MS);
        const since = performance.now();
        await sleep(OBSERVED_MS);
        const results = (await Promise.all(callers.map(({ stop }) => stop()))).flat();
        const recent = results.filter(({ sentAt }) => sentAt >= since);
        const served = recent.filter(({ status }) => status === HTTP_OK);
        expect(recent.length).toBeGreaterThan(CALLERS);
        expect(served.length / recent.length).toBeGreaterThan(0.95);
      } finally {
        program.sendSignal('SIGKILL');
        await program.ended;
        await scene.close();
      }
    });
  });
});
