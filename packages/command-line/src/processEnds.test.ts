import { before, describe, it } from 'node:test';
import { expect } from 'earl';
import bundlePrograms from './testing/bundlePrograms';
import createScene from './testing/createScene';
import startProgram from './testing/startProgram';
import type { ProgramKind, Scene } from './testing/types';

const TIMEOUT_MS = 30_000;
const OPTIONS = { timeout: TIMEOUT_MS };

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

  const relays: readonly ProgramKind[] = ['entryHost', 'servePlatform'];
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
});
