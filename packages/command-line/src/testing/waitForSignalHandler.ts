import { readFile } from 'node:fs/promises';
import { constants } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Program } from './types';

/** Bound last by the program; Node.js itself handles SIGTERM and SIGINT, and then ends by them. */
const LAST_BOUND_SIGNAL = 'SIGUSR2';

/** Resolves once a program handles its signals, by the mask of caught signals (Linux only). */
export default async function waitForSignalHandler(program: Program): Promise<void> {
  const bit = 2n ** BigInt(constants.signals[LAST_BOUND_SIGNAL] - 1);
  while (program.tryGetEnd() === undefined) {
    const status = await readFile(`/proc/${program.processId}/status`, 'utf8').catch(() => '');
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    if ((BigInt(`0x${mask}`) / bit) % 2n === 1n) {
      return;
    }
    await sleep(1);
  }
}
