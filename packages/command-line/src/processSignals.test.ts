import { connect } from 'node:net';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';
import waitForSignalHandler from './testing/waitForSignalHandler';
import type { Program, ProgramKind, Scene } from './testing/types';

const CALLERS_OF_EACH_KIND = 4;
const READY_POLL_INTERVAL_MS = 10;
const TIMEOUT_MS = 30_000;
const KNOWN = { todo: 'listed in KNOWN-RED.txt, issue 42', timeout: TIMEOUT_MS };

const programs: readonly ProgramKind[] = ['entryHost', 'servePlatform', 'serve'];

interface Run {
  readonly scene: Scene;
  readonly program: Program;
}

async function waitUntilReady({ scene, program }: Run): Promise<void> {
  while (!(await scene.isReady())) {
    expect(program.tryGetEnd()).toEqual(undefined);
    await sleep(READY_POLL_INTERVAL_MS);
  }
}

function isListening({ scene }: Run): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(scene.ports.callers!, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

describe('signals of a process', { concurrency: 4 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('signals-test');
  });

  async function withProgram(
    kind: ProgramKind,
    workDuration: number,
    test: (run: Run) => Promise<void>,
  ): Promise<void> {
    const scene = await createScene({ program: kind, folder, workDuration });
    const program = startProgram({ words: scene.words });
    try {
      await test({ scene, program });
    } finally {
      program.sendSignal('SIGKILL');
      await program.ended;
      await scene.close();
    }
  }

  const startDelays = [0, 60, 150];
  programs.forEach((kind) => {
    startDelays.forEach((delay) => {
      // Guards against a process that ends by a SIGHUP which reaches it while it starts.
      it(`${kind}: a SIGHUP ${delay} ms after its first instruction reloads`, KNOWN, () =>
        withProgram(kind, 20, async (run) => {
          const { program } = run;
          await waitForSignalHandler(program, 'SIGHUP');
          expect(await isListening(run)).toEqual(false);
          await sleep(delay);
          program.sendSignal('SIGHUP');
          await waitUntilReady(run);
          await program.waitForLine('settings reloaded');
          expect(program.tryGetEnd()).toEqual(undefined);
        }),
      );

      // Guards against a stop that is forgotten, or ends by the signal, while a process starts.
      it(`${kind}: a SIGTERM ${delay} ms after its first instruction stops it`, KNOWN, () =>
        withProgram(kind, 20, async (run) => {
          const { program } = run;
          await waitForSignalHandler(program, 'SIGTERM');
          expect(await isListening(run)).toEqual(false);
          await sleep(delay);
          program.sendSignal('SIGTERM');
          expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
          expect(program.getLines().map(({ msg }) => msg)).toInclude('process ends');
        }),
      );
    });
  });

  const stops: readonly (readonly NodeJS.Signals[])[] = [
    ['SIGTERM'],
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT', 'SIGINT', 'SIGINT'],
    ['SIGTERM', 'SIGHUP', 'SIGHUP', 'SIGTERM', 'SIGINT', 'SIGTERM'],
    ['SIGHUP', 'SIGQUIT', 'SIGTERM', 'SIGQUIT'],
    ['SIGUSR2', 'SIGTERM', 'SIGUSR2', 'SIGUSR1'],
  ];
  programs.forEach((kind) => {
    stops.forEach((signals) => {
      // Guards against a second request to stop that cuts the requests in flight.
      it(`${kind}: ${signals.join(', ')} under load cut no request`, KNOWN, () =>
        withProgram(kind, 800, async (run) => {
          const { scene, program } = run;
          await waitUntilReady(run);
          const callers = Array.from({ length: CALLERS_OF_EACH_KIND }, (_, index) => [
            startCaller({ scene, name: `order-${index}`, kind: 'order' }),
            startCaller({ scene, name: `read-${index}`, kind: 'read' }),
          ]).flat();
          const stopCallers = () => Promise.all(callers.map((caller) => caller.stop()));
          try {
            await sleep(1_000);
            for (const signal of signals) {
              program.sendSignal(signal);
              await sleep(300);
            }
            expect(await program.ended).toEqual({ kind: 'exited', code: 0 });
            const results = (await stopCallers()).flat();
            const begun = scene.listBegun();
            const cut = results.filter(
              (result) => result.kind === 'closed' && begun.has(result.request),
            );
            expect(cut).toEqual([]);
            expect(results.filter(({ status }) => status === 200).length).toBeGreaterThan(7);
          } finally {
            await stopCallers();
          }
        }),
      );
    });
  });
});
