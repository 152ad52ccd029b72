import { readFile } from 'node:fs/promises';
import type { Milliseconds } from '@rattanreel/core';
import type { HostWorld } from './types';

const CHECK_INTERVAL: Milliseconds = 50;
/** Time without processor time above which a process counts as held up by the machine. */
const MAXIMUM_LAG: Milliseconds = 200;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Returns how long a process has waited for a processor since its start; undefined once it ended. */
async function tryGetRunDelay(processId: number): Promise<Milliseconds | undefined> {
  const times = await readFile(`/proc/${processId}/schedstat`, 'utf8').catch(() => undefined);
  return times === undefined
    ? undefined
    : Number(times.split(' ')[1]) / NANOSECONDS_PER_MILLISECOND;
}

/** Records whenever the machine holds up the soak, or the process of a host (Linux only). */
export default function monitorMachine({ hosts, recorder }: HostWorld): NodeJS.Timeout {
  const delays = new Map<number, Milliseconds>();
  let lastCheckAt = recorder.now();

  async function checkHost(processId: number, host: number, since: Milliseconds): Promise<void> {
    const delay = await tryGetRunDelay(processId);
    const before = delays.get(processId);
    if (delay !== undefined) {
      delays.set(processId, delay);
      if (before !== undefined && delay - before > MAXIMUM_LAG) {
        recorder.recordHeldUp(host, since - (delay - before));
      }
    }
  }

  return setInterval(() => {
    const since = lastCheckAt;
    lastCheckAt = recorder.now();
    if (lastCheckAt - since - CHECK_INTERVAL > MAXIMUM_LAG) {
      recorder.recordHeldUp('all', since);
    }
    hosts.forEach(({ processId }, host) => {
      if (processId !== undefined) {
        void checkHost(processId, host, since);
      }
    });
  }, CHECK_INTERVAL);
}
