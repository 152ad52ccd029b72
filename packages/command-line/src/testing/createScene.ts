import createRelayScene from '@rattanreel/platform-adapter/testing/relayScene';
import findFreePorts from '../demo/findFreePorts';
import createServeScene from './createServeScene';
import type { ProgramKind, Scene } from './types';

const ENDPOINTS = 4;

interface SceneOptions {
  readonly program: ProgramKind;
  /** Folder with the bundles. */
  readonly folder: string;
  /** Time in which the backend server responds, in milliseconds. */
  readonly workDuration?: number;
  /** Memory and descriptors of the process, as its settings name them. */
  readonly memoryMegabytes?: number | undefined;
  readonly descriptors?: number | undefined;
  /** Size of a response of the backend server of a relay. */
  readonly responseBytes?: number | undefined;
}

/** Creates the stand-ins around one program; `words` name its bundle too. */
export default async function createScene(options: SceneOptions): Promise<Scene> {
  const { program, folder } = options;
  const ports = await findFreePorts(ENDPOINTS);
  switch (program) {
    case 'entryHost': {
      const scene = await createRelayScene({ ...options, ports });
      return { ...scene, words: [`${folder}/entry-host.cjs`, ...scene.words.slice(1)] };
    }
    case 'servePlatform': {
      const scene = await createRelayScene({ ...options, ports });
      return { ...scene, words: [`${folder}/rattanreel.cjs`, ...scene.words] };
    }
    case 'serve': {
      const scene = await createServeScene({ ...options, ports });
      return { ...scene, words: [`${folder}/rattanreel.cjs`, ...scene.words] };
    }
    default:
      return program satisfies never;
  }
}
