import { execFile } from 'node:child_process';
import { constants, openSync, closeSync, readSync } from 'node:fs';
import { readFile, rename, rm, writeFile } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import { expect } from 'earl';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';
import type { Program, ProgramKind, Scene } from './testing/types';
import waitForSignalHandler from './testing/waitForSignalHandler';

const START_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 10;
const TIMEOUT_MS = 30_000;
const OPTIONS = { timeout: TIMEOUT_MS };
/** Longer than the interval at which the settings file is polled. */
const POLLED_MS = 1_500;
/** Longer than the grace period of the scenes. */
const STOP_TIMEOUT_MS = 9_000;

interface Run {
  readonly scene: Scene;
  readonly program: Program;
}

async function waitUntilReady({ scene, program }: Run): Promise<void> {
  const startedAt = performance.now();
  while (!(await scene.isReady())) {
    expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
    const lines = program.getUnstructuredLines();
    if (program.tryGetEnd() !== undefined || lines.length > 0) {
      throw new Error(`not started: ${JSON.stringify(program.tryGetEnd())} ${lines.join('\n')}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** A log collector: a full disk, a reader that dies and may come back, or one that stops reading. */
type Output = 'full' | 'gone' | 'stopped' | 'returns';

function readAll(descriptor: number): string {
  const buffer = Buffer.alloc(1_048_576);
  try {
    return buffer.toString('utf8', 0, readSync(descriptor, buffer));
  } catch {
    return '';
  }
}

function createPipe(fileName: string) {
  return promisify(execFile)('mkfifo', [fileName]);
}

describe('ends of a process', { concurrency: 4 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('ends-test');
  });

  async function withScene(
    program: ProgramKind,
    test: (scene: Scene) => Promise<void>,
  ): Promise<void> {
    const scene = await createScene({ program, folder });
    try {
      await test(scene);
    } finally {
      await scene.close();
    }
  }

  async function withProgram(program: Program, test: () => Promise<void>): Promise<void> {
    try {
      await test();
    } finally {
      program.sendSignal('SIGKILL');
      await program.ended;
    }
  }

  const relays: readonly ProgramKind[] = ['entryHost', 'servePlatform'];
  relays.forEach((kind) => {
    // Guards against an older text of the settings that is read slowly and replaces a newer one.
    it(`${kind}: the reload that was asked for last decides`, OPTIONS, () =>
      withScene(kind, async (scene) => {
        const program = startProgram({ words: scene.words });
        await withProgram(program, async () => {
          await waitUntilReady({ scene, program });
          const { settingsFile } = scene;
          const text = await readFile(settingsFile, 'utf8');
          const slow = `${settingsFile}.slow`;
          const next = `${settingsFile}.next`;
          await createPipe(slow);
          await rename(slow, settingsFile);
          program.sendSignal('SIGHUP');
          await program.waitForLine('signal received');
          await sleep(POLLED_MS);
          await rename(settingsFile, slow);
          await writeFile(next, text.replace('zone=a', 'zone=b'));
          await rename(next, settingsFile);
          program.sendSignal('SIGHUP');
          await sleep(POLLED_MS);
          await writeFile(slow, text);
          const listReloads = () =>
            program.getLines().filter(({ msg }) => msg === 'settings reloaded');
          const writtenAt = performance.now();
          while (listReloads().length < 2) {
            expect(performance.now() - writtenAt).toBeLessThan(START_TIMEOUT_MS);
            await sleep(POLL_INTERVAL_MS);
          }
          await sleep(POLLED_MS);
          const reloads = listReloads();
          const changes = reloads.map(({ changed }) => changed as readonly string[]);
          expect(changes.filter((changed) => changed.length > 0)).toEqual([['failureDomain']]);
          expect(reloads.at(-1)?.needsRestart).toEqual(['failureDomain']);
          await rm(slow);
        });
      }),
    );
  });

  const unreadable = ['missing', 'a folder'] as const;
  relays.forEach((kind) => {
    unreadable.forEach((name) => {
      // Guards against a start that ends with a bare stack because the settings cannot be read.
      it(`${kind}: a settings file that is ${name} is invalid input`, OPTIONS, () =>
        withScene(kind, async (scene) => {
          const fileName = name === 'missing' ? `${scene.settingsFile}.none` : folder;
          const words = scene.words.map((word) => (word === scene.settingsFile ? fileName : word));
          const program = startProgram({ words });
          expect(await program.ended).toEqual({ kind: 'exited', code: 3 });
          const [line] = program.getUnstructuredLines();
          expect(line?.startsWith(`${fileName}:0: unreadable-file: `)).toEqual(true);
        }),
      );
    });
  });

  const programs: readonly ProgramKind[] = [...relays, 'serve'];
  programs.forEach((kind) => {
    // Guards against a process that lives on after its last line, since its settings never arrive.
    it(`${kind}: a start ends while its settings file is a pipe without a writer`, OPTIONS, () =>
      withScene(kind, async ({ settingsFile, words }) => {
        await rm(settingsFile);
        await createPipe(settingsFile);
        const program = startProgram({ words });
        await withProgram(program, async () => {
          await waitForSignalHandler(program);
          await sleep(POLLED_MS);
          program.sendSignal('SIGTERM');
          const end = await Promise.race([program.ended, sleep(STOP_TIMEOUT_MS)]);
          expect(end).toEqual({ kind: 'exited', code: 0 });
        });
      }),
    );

    // Guards against a process that lives on after its last line, since a reload never ends.
    it(`${kind}: stops while its settings file is a pipe without a writer`, OPTIONS, () =>
      withScene(kind, async (scene) => {
        const program = startProgram({ words: scene.words });
        await withProgram(program, async () => {
          await waitUntilReady({ scene, program });
          const pipe = `${scene.settingsFile}.pipe`;
          await createPipe(pipe);
          await rename(pipe, scene.settingsFile);
          program.sendSignal('SIGHUP');
          await program.waitForLine('signal received');
          await sleep(POLLED_MS);
          program.sendSignal('SIGTERM');
          const end = await Promise.race([program.ended, sleep(STOP_TIMEOUT_MS)]);
          expect(end).toEqual({ kind: 'exited', code: 0 });
        });
      }),
    );
  });

  const kinds: readonly ProgramKind[] = ['entryHost', 'serve'];
  const outputs: readonly Output[] = ['full', 'gone', 'stopped', 'returns'];
  kinds.forEach((kind) => {
    outputs.forEach((output) => {
      // Guards against a process that hangs, ends or cuts requests because its log cannot be written.
      it(`${kind}: serves and stops while the reader of its log is ${output}`, OPTIONS, () =>
        withScene(kind, async (scene) => {
          const fileName = `${scene.settingsFile}.log`;
          await createPipe(fileName);
          const openReader = () => openSync(fileName, constants.O_NONBLOCK);
          let reader: number | undefined = openReader();
          const closeReader = (): void => {
            if (reader !== undefined) {
              closeSync(reader);
              reader = undefined;
            }
          };
          const standardOutput = openSync(output === 'full' ? '/dev/full' : fileName, 'w');
          const program = startProgram({ words: scene.words, standardOutput });
          closeSync(standardOutput);
          await withProgram(program, async () => {
            if (output === 'gone' || output === 'returns') {
              closeReader();
            }
            await waitUntilReady({ scene, program });
            const callers = Array.from({ length: 8 }, (_, index) =>
              startCaller({ scene, name: `c${index}`, kind: index % 2 === 0 ? 'order' : 'read' }),
            );
            await sleep(1_500);
            if (output === 'returns') {
              reader = openReader();
              await sleep(1_000);
              expect(readAll(reader).split('\n').length).toBeGreaterThan(10);
            }
            const stoppedAt = performance.now();
            program.sendSignal('SIGTERM');
            const end = await Promise.race([program.ended, sleep(8_000)]);
            const results = (await Promise.all(callers.map((caller) => caller.stop()))).flat();
            expect(end).toEqual({ kind: 'exited', code: 0 });
            expect(performance.now() - stoppedAt).toBeLessThan(8_000);
            const begun = scene.listBegun();
            const cut = results.filter((result) => result.kind === 'closed');
            expect(cut.filter(({ request }) => begun.has(request))).toEqual([]);
            expect(results.filter(({ status }) => status === 200).length).toBeGreaterThan(7);
          });
          closeReader();
        }),
      );
    });
  });

  const unfinished = [
    { name: 'without a byte', text: '' },
    { name: 'with a cut head', text: 'POST /order/1 HTTP/1.1\r\nhost: sh' },
    {
      name: 'with a cut body',
      text: 'POST /order/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9\r\n\r\nbol',
    },
  ];
  kinds.forEach((kind) => {
    unfinished.forEach(({ name, text }) => {
      // Guards against a stop that waits for a caller that never finishes its request.
      it(`${kind}: stops beside a connection ${name}`, OPTIONS, () =>
        withScene(kind, async (scene) => {
          const program = startProgram({ words: scene.words });
          await withProgram(program, async () => {
            await waitUntilReady({ scene, program });
            const socket = connect(scene.ports.callers!, '127.0.0.1', () => socket.write(text));
            socket.on('error', () => undefined);
            await sleep(200);
            program.sendSignal('SIGTERM');
            expect(await Promise.race([program.ended, sleep(9_000)])).toEqual({
              kind: 'exited',
              code: 0,
            });
            socket.destroy();
          });
        }),
      );
    });
  });

  relays.forEach((kind) => {
    // Guards against a malformed response that stops the event loop of a whole host for seconds.
    it(`${kind}: a response that fails an assertion of the HTTP client is answered`, OPTIONS, () =>
      withScene(kind, async (scene) => {
        const server = createServer((socket) => {
          socket.on('error', () => undefined);
          socket.on('data', () => socket.write('HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n'));
        });
        await new Promise<void>((resolve) => {
          server.listen(0, '127.0.0.1', resolve);
        });
        const { port } = server.address() as AddressInfo;
        scene.replaceServer?.(`127.0.0.1:${port}`);
        const program = startProgram({ words: scene.words });
        await withProgram(program, async () => {
          await waitUntilReady({ scene, program });
          const caller = startCaller({ scene, name: 'odd', kind: 'read' });
          await sleep(300);
          const [result] = await caller.stop();
          expect(result?.status).toEqual(502);
          expect(result!.endedAt - result!.sentAt).toBeLessThan(1_000);
        });
        server.close();
      }),
    );
  });

  // Guards against a process that ends because callers send large heads that they do not complete.
  it('entryHost: lives beside 3,500 connections with cut heads of 60 kB', OPTIONS, () =>
    withScene('entryHost', async (scene) => {
      const words = ['--max-old-space-size=110', '--max-semi-space-size=2', ...scene.words];
      const program = startProgram({ words });
      await withProgram(program, async () => {
        await waitUntilReady({ scene, program });
        const fields = Array.from(
          { length: 60 },
          (_, index) => `x-${index}: ${'a'.repeat(990)}\r\n`,
        );
        const head = `GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n${fields.join('')}`;
        const sockets: Socket[] = [];
        while (sockets.length < 3_500 && program.tryGetEnd() === undefined) {
          const socket = connect(scene.ports.callers!, '127.0.0.1', () => socket.write(head));
          socket.on('error', () => undefined);
          sockets.push(socket);
          if (sockets.length % 200 === 0) {
            await sleep(60);
          }
        }
        await sleep(2_000);
        sockets.forEach((socket) => socket.destroy());
        expect(program.tryGetEnd()).toEqual(undefined);
        expect(await scene.isReady()).toEqual(true);
      });
    }),
  );
});
