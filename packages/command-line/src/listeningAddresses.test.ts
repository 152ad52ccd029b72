import { readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { request } from 'undici';
import exitCodes from './exitCodes';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startCaller from './testing/startCaller';
import startProgram from './testing/startProgram';
import startRunDelayMeter from './testing/startRunDelayMeter';
import type { LogLine, Program, ProgramKind, Scene } from './testing/types';

const START_TIMEOUT_MS = 15_000;
const TAKEN_FOR_MS = 1_500;
/** Enough to load the program and read its settings, too few to listen. */
const TOO_FEW_DESCRIPTORS = 20;
const READY_POLL_INTERVAL_MS = 20;
const LINE_POLL_INTERVAL_MS = 10;
const RETRYING = 'address not available, retrying';
const LIMIT = { timeout: 30_000 };
const relayEndpoints = ['callers', 'readiness', 'peers', 'metrics'];
const endpointsByKind: Readonly<Record<ProgramKind, readonly string[]>> = {
  entryHost: relayEndpoints,
  servePlatform: relayEndpoints,
  serve: ['callers', 'peers'],
};
const kinds = Object.keys(endpointsByKind) as readonly ProgramKind[];

/** Takes a port; returns the function that frees it. */
function takePort(port: number): Promise<() => Promise<void>> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => sockets.add(socket.on('error', () => undefined)));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () =>
      resolve(
        () =>
          new Promise((resolveFreed) => {
            server.close(() => resolveFreed());
            sockets.forEach((socket) => socket.destroy());
          }),
      ),
    );
  });
}

async function waitUntilReady(scene: Scene, program: Program): Promise<void> {
  const startedAt = performance.now();
  while (!(await scene.isReady())) {
    expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
    expect({ end: program.tryGetEnd(), other: program.getUnstructuredLines() }).toEqual({
      end: undefined,
      other: [],
    });
    await sleep(READY_POLL_INTERVAL_MS);
  }
}

async function waitForEndpointLine(
  program: Program,
  message: string,
  endpoint: string,
): Promise<LogLine> {
  for (;;) {
    const line = program
      .getLines()
      .find((candidate) => candidate.msg === message && candidate.endpoint === endpoint);
    if (line !== undefined) {
      return line;
    }
    expect(program.tryGetEnd()).toEqual(undefined);
    await sleep(LINE_POLL_INTERVAL_MS);
  }
}

async function setField(scene: Scene, field: string, value: string): Promise<void> {
  const text = await readFile(scene.settingsFile, 'utf8');
  await writeFile(
    scene.settingsFile,
    text.replace(new RegExp(`^${field}=.*$`, 'm'), `${field}=${value}`),
  );
}

describe('listening addresses of a process', { concurrency: 4 }, () => {
  let folder: string;

  before(async () => {
    folder = await bundlePrograms('listening-test');
  });

  interface Run {
    readonly scene: Scene;
    /** Starts the program, with a limit of open files if given; it is ended with the scene. */
    start(descriptors?: number): Program;
  }

  async function withScene(
    kind: ProgramKind,
    workDuration: number,
    test: (run: Run) => Promise<void>,
  ): Promise<void> {
    const scene = await createScene({ program: kind, folder, workDuration });
    const started: Program[] = [];
    try {
      await test({
        scene,
        start(descriptors) {
          const program = startProgram(
            descriptors === undefined
              ? { words: scene.words }
              : {
                  executable: '/bin/sh',
                  words: [
                    '-c',
                    `ulimit -n ${descriptors}; exec "$0" "$@"`,
                    process.execPath,
                    ...scene.words,
                  ],
                },
          );
          started.push(program);
          return program;
        },
      });
    } finally {
      started.forEach((program) => program.sendSignal('SIGKILL'));
      await Promise.all(started.map(({ ended }) => ended));
      await scene.close();
    }
  }

  kinds.forEach((kind) => {
    endpointsByKind[kind].forEach((endpoint) => {
      // Guards against a process that ends, or lacks an endpoint, since its address was taken.
      it(`${kind}: waits for the address of ${endpoint}`, LIMIT, () =>
        withScene(kind, 20, async ({ scene, start }) => {
          const free = await takePort(scene.ports[endpoint]!);
          const program = start();
          try {
            await sleep(TAKEN_FOR_MS);
            expect(program.tryGetEnd()).toEqual(undefined);
            if (endpoint === 'metrics') {
              await waitUntilReady(scene, program);
            }
            const line = await waitForEndpointLine(program, RETRYING, endpoint);
            expect({ code: line.code, attempt: line.attempt }).toEqual({
              code: 'EADDRINUSE',
              attempt: 1,
            });
          } finally {
            await free();
          }
          await waitUntilReady(scene, program);
          const { address, attempts, waited } = await waitForEndpointLine(
            program,
            'listening',
            endpoint,
          );
          expect(address).toEqual(`127.0.0.1:${scene.ports[endpoint]}`);
          expect([attempts, waited].map((value) => Number(value) > 1)).toEqual([true, true]);
          if (scene.ports.metrics !== undefined) {
            const url = `http://127.0.0.1:${scene.ports.metrics}/metrics`;
            const text = await (await request(url)).body.text();
            expect(text).toMatchRegex(
              new RegExp(
                `listen_failures_total\\{endpoint="${endpoint}",operation="listen"\\} \\d`,
              ),
            );
          }
        }),
      );
    });

    // Guards against a restart that fails, or cuts requests, while the process before it drains.
    it(`${kind}: takes over from a process that drains`, LIMIT, () =>
      withScene(kind, 800, async ({ scene, start }) => {
        const predecessor = start();
        await waitUntilReady(scene, predecessor);
        const startCallers = (name: string) =>
          (['order', 'read'] as const).map((sent) =>
            startCaller({ scene, name: `${sent}-${name}`, kind: sent }),
          );
        const callers = startCallers('before');
        const stopCallers = () => Promise.all(callers.map((caller) => caller.stop()));
        try {
          await sleep(400);
          predecessor.sendSignal('SIGTERM');
          const successor = start();
          expect(await predecessor.ended).toEqual({ kind: 'exited', code: 0 });
          expect(successor.tryGetEnd()).toEqual(undefined);
          await waitUntilReady(scene, successor);
          const results = (await stopCallers()).flat();
          const begun = scene.listBegun();
          const cut = results.filter(
            (result) => result.kind === 'closed' && begun.has(result.request),
          );
          expect(cut).toEqual([]);
          const later = startCallers('after').map((caller) => caller.stop());
          const statuses = (await Promise.all(later)).map(([first]) => first?.status);
          expect(statuses).toEqual([200, 200]);
        } finally {
          await stopCallers();
        }
      }),
    );

    ['callers', 'peers'].forEach((endpoint) => {
      // Guards against a process that cannot be stopped, or ends as a failure, while it waits.
      it(`${kind}: SIGTERM ends the wait for the address of ${endpoint}`, LIMIT, () =>
        withScene(kind, 20, async ({ scene, start }) => {
          const free = await takePort(scene.ports[endpoint]!);
          try {
            const program = start();
            await waitForEndpointLine(program, RETRYING, endpoint);
            const meter = startRunDelayMeter(program.processId);
            const sentAt = performance.now();
            program.sendSignal('SIGTERM');
            expect(await program.ended).toEqual({ kind: 'exited', code: exitCodes.success });
            expect(performance.now() - sentAt - meter.stop()).toBeLessThan(1_000);
          } finally {
            await free();
          }
        }),
      );
    });
  });

  const impossible = [
    { field: 'listen.front', value: '127.0.0.1:99999', endpoint: 'callers' },
    { field: 'listen.control', value: '127.0.0.1:99999', endpoint: 'peers' },
  ];
  impossible.forEach(({ field, value, endpoint }) => {
    // Guards against a start that fails without a line that names the address.
    it(`entryHost: names the impossible address of ${endpoint} and exits`, LIMIT, () =>
      withScene('entryHost', 20, async ({ scene, start }) => {
        await setField(scene, field, value);
        const program = start();
        expect(await program.ended).toEqual({ kind: 'exited', code: exitCodes.invalidInput });
        const line = program.getLines().find(({ msg }) => msg === 'address cannot be used');
        expect(line && [line.endpoint, line.address, line.code]).toEqual([
          endpoint,
          value,
          'ERR_SOCKET_BAD_PORT',
        ]);
        expect(program.getUnstructuredLines()).toEqual([]);
      }),
    );
  });

  // Guards against a host that serves no callers for lack of its metrics.
  it('entryHost: serves without the metrics if their address is impossible', LIMIT, () =>
    withScene('entryHost', 20, async ({ scene, start }) => {
      await setField(scene, 'metrics-port', '99999');
      const program = start();
      await waitUntilReady(scene, program);
      await waitForEndpointLine(program, 'address cannot be used', 'metrics');
    }),
  );

  // Guards against a process that ends in its start since it has no free descriptors.
  it('entryHost: waits for descriptors', LIMIT, () =>
    withScene('entryHost', 20, async ({ start }) => {
      const program = start(TOO_FEW_DESCRIPTORS);
      const line = await program.waitForLine(RETRYING);
      expect(line.code).toEqual('EMFILE');
      await sleep(1_000);
      expect(program.tryGetEnd()).toEqual(undefined);
      program.sendSignal('SIGTERM');
      expect(await program.ended).toEqual({ kind: 'exited', code: exitCodes.success });
    }),
  );

  // Guards against a process that ends since a network interface is not up yet.
  it('entryHost: waits for an address that the machine does not have yet', LIMIT, () =>
    withScene('entryHost', 20, async ({ scene, start }) => {
      await setField(scene, 'listen.front', '192.0.2.1:8080');
      const program = start();
      const line = await waitForEndpointLine(program, RETRYING, 'callers');
      expect(line.code).toEqual('EADDRNOTAVAIL');
      await sleep(1_000);
      expect(program.tryGetEnd()).toEqual(undefined);
    }),
  );
});
