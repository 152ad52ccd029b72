import { readFile } from 'node:fs/promises';
import { constants } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Program } from './types';

/** Resolves once a process handles a signal, by its mask of caught signals (Linux only). */
export default async function waitForSignalHandler(
  program: Program,
  signal: NodeJS.Signals,
): Promise<void> {
  const bit = 2n ** BigInt(constants.signals[signal] - 1);
  while (program.tryGetEnd() === undefined) {
    const status = await readFile(`/proc/${program.processId}/status`, 'utf8').catch(() => '');
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    if ((BigInt(`0x${mask}`) / bit) % 2n === 1n) {
      return;
    }
    await sleep(1);
  }
}
