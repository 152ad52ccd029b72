import { readFileSync, readdirSync } from 'node:fs';
import type { Milliseconds } from '@rattanreel/core';

const SAMPLE_INTERVAL_MS = 10;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

interface ThreadSample {
  readonly isRunnable: boolean;
  readonly runTime: Milliseconds;
  readonly runDelay: Milliseconds;
}

interface ThreadDelay {
  /** Run delay of the thread before the meter started. */
  readonly before: Milliseconds;
  sample: ThreadSample;
  /** Time since which the thread has been seen to wait for a processor. */
  waitsSince: Milliseconds | undefined;
  /** What the kernel will add to the run delay once the thread runs. */
  pending: Milliseconds;
}

/** Returns undefined if the thread has ended. */
function trySample(folder: string): ThreadSample | undefined {
  try {
    const [runTime, runDelay] = readFileSync(`${folder}/schedstat`, 'utf8')
      .split(' ')
      .map((value) => Number(value) / NANOSECONDS_PER_MILLISECOND);
    const isRunnable = readFileSync(`${folder}/stat`, 'utf8').includes(') R ');
    return { isRunnable, runTime: runTime!, runDelay: runDelay! };
  } catch {
    return undefined;
  }
}

function listThreads(processId: number): readonly string[] {
  try {
    return readdirSync(`/proc/${processId}/task`);
  } catch {
    return [];
  }
}

/**
 * Measures how long the kernel makes a process wait for a processor from now on (Linux only): its main
 * thread, and of its other threads the one that waits longest, since an exit joins them.
 */
export default function startRunDelayMeter(processId: number) {
  const delays = new Map<string, ThreadDelay>();
  let isFirst = true;

  function sampleThread(thread: string, at: Milliseconds): void {
    const sample = trySample(`/proc/${processId}/task/${thread}`);
    if (sample === undefined) {
      return;
    }
    const delay = delays.get(thread);
    if (delay === undefined) {
      const before = isFirst ? sample.runDelay : 0;
      delays.set(thread, { before, sample, waitsSince: undefined, pending: 0 });
      return;
    }
    const isWaiting = sample.isRunnable && sample.runTime === delay.sample.runTime;
    delay.waitsSince = isWaiting ? (delay.waitsSince ?? at) : undefined;
    delay.pending = delay.waitsSince === undefined ? 0 : at - delay.waitsSince;
    delay.sample = sample;
  }

  function sampleAll(): void {
    const at = performance.now();
    listThreads(processId).forEach((thread) => sampleThread(thread, at));
    isFirst = false;
  }

  sampleAll();
  const timer = setInterval(sampleAll, SAMPLE_INTERVAL_MS);

  return {
    /** Returns the run delay since the start of the meter. */
    stop(): Milliseconds {
      clearInterval(timer);
      const main = String(processId);
      const entries = [...delays].map(([thread, { before, sample, pending }]) => ({
        isMain: thread === main,
        runDelay: sample.runDelay - before + pending,
      }));
      const listDelays = (isMain: boolean) =>
        entries.filter((entry) => entry.isMain === isMain).map(({ runDelay }) => runDelay);
      return Math.max(0, ...listDelays(true)) + Math.max(0, ...listDelays(false));
    },
  };
}
