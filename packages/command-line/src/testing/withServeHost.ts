import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { parse } from 'yaml';
import { parseEntryHostSettings } from '@rattanreel/configuration';
import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import { createEntryHost } from '@rattanreel/entry-host';
import { silentLogger } from '@rattanreel/observability';
import findFreePorts from '../demo/findFreePorts';
import createServeScene from './createServeScene';
import type { ServeRun } from './types';

const START_TIMEOUT_MS = 15_000;

interface ServeHostOptions {
  /** Time in which the backend server responds. */
  readonly workDuration: Milliseconds;
  readonly gracePeriod: Milliseconds;
}

/** Runs a test with an entry host of `serve` that is ready, and ends the host. */
export default async function withServeHost(
  { workDuration, gracePeriod }: ServeHostOptions,
  test: (run: ServeRun) => Promise<void>,
): Promise<void> {
  const scene = await createServeScene({ ports: await findFreePorts(2), workDuration });
  const settings = parseEntryHostSettings(parse(await readFile(scene.settingsFile, 'utf8')));
  const created = await createEntryHost({
    settings: Debug.checkDefined(settings.kind === 'ok' ? settings.value : undefined, 'settings'),
    logger: silentLogger,
    gracePeriod,
    signal: AbortSignal.timeout(START_TIMEOUT_MS),
  });
  const host = Debug.checkDefined(created.kind === 'ok' ? created.value : undefined, 'host');
  try {
    const startedAt = performance.now();
    while (!(await scene.isReady())) {
      expect(performance.now() - startedAt).toBeLessThan(START_TIMEOUT_MS);
      await sleep(20);
    }
    await test({ scene, host });
  } finally {
    await host.kill();
    await scene.close();
  }
}
