import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import createLoadedPool from './createLoadedPool';

const QUEUE_SIZE = 10_000;
const ENGINES = 4;

/** Collects garbage, so that only live objects stay on the heap. */
function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
}

/** Returns the heap bytes of one queued request, with its message; 0 when nothing was queued. */
export default function measureQueuedRequestBytes(seed: number): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const empty = createLoadedPool({ engines: ENGINES, queued: 0, seed });
  collectGarbage();
  const withEmpty = process.memoryUsage().heapUsed;
  const full = createLoadedPool({ engines: ENGINES, queued: QUEUE_SIZE, seed });
  collectGarbage();
  const withFull = process.memoryUsage().heapUsed;
  const queued =
    full.scheduler.getSummary(0).queuedTokens - empty.scheduler.getSummary(0).queuedTokens;
  const bytes = withFull - withEmpty - (withEmpty - before);
  return queued > 0 ? bytes / QUEUE_SIZE : 0;
}
