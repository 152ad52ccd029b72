import type { Milliseconds } from '@rattanreel/core';
import tryGetRunDelay from './tryGetRunDelay';
import type { HostWorld } from './types';

const CHECK_INTERVAL: Milliseconds = 50;
/** Time without processor time above which a process counts as held up by the machine. */
const MAXIMUM_LAG: Milliseconds = 200;

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
