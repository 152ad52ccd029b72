import { readFile } from 'node:fs/promises';
import { constants } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MILLISECONDS = 2;
/** Processor time after the start of Node.js in which a program must handle its signals. */
const MAXIMUM_UNHANDLED_NANOSECONDS = 150_000_000;

function isInMask(status: string, signal: NodeJS.Signals): boolean {
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) / 2n ** BigInt(constants.signals[signal] - 1)) % 2n === 1n;
}

/**
 * Resolves once signals reach the program of a process instead of Node.js, whose start the program
 * cannot change: when it handles SIGHUP, or has run for some time without (Linux only). Node.js
 * handles SIGTERM and SIGINT itself from the beginning, and SIGUSR1 last before it runs the program.
 */
export default async function waitForProgram(
  processId: number,
  hasEnded: () => boolean,
): Promise<void> {
  let startedAt: number | undefined;
  while (!hasEnded()) {
    const [status, times] = await Promise.all(
      ['status', 'schedstat'].map((file) =>
        // The process may have ended in the meantime.
        readFile(`/proc/${processId}/${file}`, 'utf8').catch(() => ''),
      ),
    );
    const used = Number(times?.split(' ')[0]);
    if (startedAt === undefined && isInMask(status ?? '', 'SIGUSR1')) {
      startedAt = used;
    }
    if (
      isInMask(status ?? '', 'SIGHUP') ||
      (startedAt !== undefined && used - startedAt > MAXIMUM_UNHANDLED_NANOSECONDS)
    ) {
      return;
    }
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}
