import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';
import waitForSignalHandler from './testing/waitForSignalHandler';
import type { Program, ProgramKind, Scene } from './testing/types';

const START_TIMEOUT_MS = 15_000;
const CALLERS_OF_EACH_KIND = 4;
const READY_POLL_INTERVAL_MS = 10;
const TIMEOUT_MS = 30_000;
/** Longer than the grace period of the scenes. */
const END_TIMEOUT_MS = 15_000;
const OPTIONS = { timeout: TIMEOUT_MS };

const programs: readonly ProgramKind[] = ['entryHost', 'servePlatform', 'serve'];

interface ProgramStart {
  /** Words before the name of the program. */
  readonly nodeWords?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

interface Run {
  readonly scene: Scene;
  readonly program: Program;
}

async function waitUntilReady({ scene, program }: Run): Promise<void> {
  const startedAt = performance.now();
  while (!(await scene.isReady())) {
    expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
    expect(program.tryGetEnd()).toEqual(undefined);
    await sleep(READY_POLL_INTERVAL_MS);
  }
}

function waitForEnd({ program }: Run) {
  return Promise.race([program.ended, sleep(END_TIMEOUT_MS, undefined, { ref: false })]);
}

/** Returns the phases of the process in which it received this signal. */
function listPhases({ program }: Run, signal: NodeJS.Signals): readonly unknown[] {
  return program
    .getLines()
    .filter((line) => line.msg === 'signal received' && line.signal === signal)
    .map(({ phase }) => phase);
}

describe('signals of a process', { concurrency: 4 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('signals-test');
  });

  async function withProgram(
    options: { readonly kind: ProgramKind; readonly workDuration?: number } & ProgramStart,
    test: (run: Run) => Promise<void>,
  ): Promise<void> {
    const { kind, workDuration, nodeWords = [], environment } = options;
    const scene = await createScene({ program: kind, folder, workDuration });
    const program = startProgram({ words: [...nodeWords, ...scene.words], environment });
    try {
      await test({ scene, program });
    } finally {
      program.sendSignal('SIGKILL');
      await program.ended;
      await scene.close();
    }
  }

  async function expectReload(run: Run): Promise<void> {
    await waitUntilReady(run);
    await run.program.waitForLine('settings reloaded');
    expect(listPhases(run, 'SIGHUP').length).toEqual(1);
    expect(run.program.tryGetEnd()).toEqual(undefined);
  }

  async function expectStop(run: Run): Promise<void> {
    expect(await waitForEnd(run)).toEqual({ kind: 'exited', code: 0 });
    expect(listPhases(run, 'SIGTERM').length).toEqual(1);
    expect(run.program.getLines().map(({ msg }) => msg)).toInclude('process ends');
  }

  const startDelays = [0, 60, 150];
  programs.forEach((kind) => {
    const during = (signal: NodeJS.Signals) => ({
      kind,
      nodeWords: ['--require', './packages/command-line/src/testing/signalDuringLoad.cjs'],
      environment: { TEST_SIGNAL: signal },
    });

    // Guards against a process that ends by a SIGHUP which reaches it while it loads its libraries.
    it(`${kind}: a SIGHUP while libraries are loaded reloads after the start`, OPTIONS, () =>
      withProgram(during('SIGHUP'), async (run) => {
        await expectReload(run);
        expect(listPhases(run, 'SIGHUP')).toEqual(['starting']);
      }),
    );

    // Guards against a process that ends by a SIGTERM which reaches it while it loads its libraries.
    it(`${kind}: a SIGTERM while libraries are loaded stops it`, OPTIONS, () =>
      withProgram(during('SIGTERM'), async (run) => {
        await expectStop(run);
        expect(listPhases(run, 'SIGTERM')).toEqual(['starting']);
      }),
    );

    startDelays.forEach((delay) => {
      // Guards against a process that ends by a SIGHUP which reaches it while it starts.
      it(`${kind}: a SIGHUP ${delay} ms after its handlers are bound reloads`, OPTIONS, () =>
        withProgram({ kind }, async (run) => {
          await waitForSignalHandler(run.program);
          await sleep(delay);
          run.program.sendSignal('SIGHUP');
          await expectReload(run);
        }),
      );

      // Guards against a stop that is forgotten, or ends by the signal, while a process starts.
      it(`${kind}: a SIGTERM ${delay} ms after its handlers are bound stops it`, OPTIONS, () =>
        withProgram({ kind }, async (run) => {
          await waitForSignalHandler(run.program);
          await sleep(delay);
          run.program.sendSignal('SIGTERM');
          await expectStop(run);
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
      it(`${kind}: ${signals.join(', ')} under load cut no request`, OPTIONS, () =>
        withProgram({ kind, workDuration: 800 }, async (run) => {
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
            expect(await waitForEnd(run)).toEqual({ kind: 'exited', code: 0 });
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
