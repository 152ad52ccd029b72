import { readFile } from 'node:fs/promises';
import type { Milliseconds } from '@rattanreel/core';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/**
 * Returns how long a process has waited for a processor since its start; undefined once it ended
 * (Linux only).
 */
export default async function tryGetRunDelay(processId: number): Promise<Milliseconds | undefined> {
  const times = await readFile(`/proc/${processId}/schedstat`, 'utf8').catch(() => undefined);
  return times === undefined
    ? undefined
    : Number(times.split(' ')[1]) / NANOSECONDS_PER_MILLISECOND;
}
