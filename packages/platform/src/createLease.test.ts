import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Clock, Milliseconds, VirtualClock } from '@rattanreel/core';
import {
  createModelStoreClient,
  createObjectStoreModel,
  runInVirtualTime,
} from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import createLease from './createLease';
import sleep from './sleep';
import type { Lease } from './types';

const DURATION: Milliseconds = 6_000;

interface Candidate {
  readonly lease: Lease;
  readonly generations: number[];
  pause(): void;
}

interface Bench {
  readonly clock: VirtualClock;
  readonly model: ObjectStoreModel;
  candidate(holder: string): Candidate;
  wait(span: Milliseconds): Promise<void>;
}

/**
 * Creates a clock whose timers no longer fire after `pause`, as in a paused process, while time
 * continues to advance.
 */
function createPausableClock(clock: Clock): { readonly clock: Clock; pause(): void } {
  let isPaused = false;
  return {
    clock: {
      ...clock,
      after: (delay, callback) => clock.after(delay, () => isPaused || callback()),
    },
    pause() {
      isPaused = true;
    },
  };
}

function createBench(): Bench {
  const clock = createVirtualClock();
  const model = createObjectStoreModel({ clock, random: createRandom(1) });
  let seed = 1;
  return {
    clock,
    model,
    candidate(holder) {
      seed += 1;
      const process = createPausableClock(clock);
      const random = createRandom(seed);
      const generations: number[] = [];
      const lease = createLease({
        store: createModelStoreClient({ model, clock: process.clock, random }),
        name: 'moves',
        holder,
        clock: process.clock,
        random,
        duration: DURATION,
        onChange: (state) => generations.push(state.kind === 'held' ? state.generation : 0),
      });
      return { lease, generations, pause: process.pause };
    },
    wait: (span) => runInVirtualTime(clock, sleep(clock, span)),
  };
}

const HELD = (generation: number) => ({ kind: 'held', generation }) as const;
const NOT_HELD = { kind: 'notHeld' } as const;

describe(createLease.name, () => {
  const cases = [
    {
      name: 'is held by one candidate, renewed under one generation',
      run: async (bench: Bench) => {
        const first = bench.candidate('first');
        const second = bench.candidate('second');
        await bench.wait(10 * DURATION);
        return [[first.generations, second.generations].map((seen) => seen.join())];
      },
      expected: [['1', '']],
    },
    {
      name: 'is acquired by another candidate at once when it is released',
      run: async (bench: Bench) => {
        const first = bench.candidate('first');
        await bench.wait(100);
        const second = bench.candidate('second');
        await bench.wait(100);
        await runInVirtualTime(bench.clock, first.lease.stop());
        await bench.wait(DURATION / 2);
        return [first.lease.state(), second.lease.state()];
      },
      expected: [NOT_HELD, HELD(2)],
    },
    {
      name: 'is acquired only after its duration when the holder pauses, and the holder sees that it expired',
      run: async (bench: Bench) => {
        const first = bench.candidate('first');
        await bench.wait(100);
        const second = bench.candidate('second');
        first.pause();
        await bench.wait(DURATION - 200);
        const before = second.lease.state();
        await bench.wait(DURATION);
        return [before, first.lease.state(), second.lease.state()];
      },
      expected: [NOT_HELD, NOT_HELD, HELD(2)],
    },
    {
      name: 'is held although the answer to the first write was lost',
      run: async (bench: Bench) => {
        bench.model.failNextWrite({ kind: 'loseAnswer' });
        const first = bench.candidate('first');
        await bench.wait(2_000);
        return [first.lease.state()];
      },
      expected: [HELD(1)],
    },
    {
      name: 'expires in an outage and is acquired again under a higher generation',
      run: async (bench: Bench) => {
        const first = bench.candidate('first');
        await bench.wait(100);
        bench.model.setFaults({ outage: 'silent' });
        await bench.wait(2 * DURATION);
        const during = first.lease.state();
        bench.model.setFaults({ outage: 'none' });
        await bench.wait(2 * DURATION);
        return [during, first.lease.state()];
      },
      expected: [NOT_HELD, HELD(2)],
    },
    {
      name: 'is not renewed by a write that arrives after another candidate has acquired it',
      run: async (bench: Bench) => {
        const first = bench.candidate('first');
        await bench.wait(100);
        bench.model.failNextWrite({ kind: 'landLate', delay: 4 * DURATION });
        await bench.wait(DURATION / 3);
        first.pause();
        const second = bench.candidate('second');
        await bench.wait(5 * DURATION);
        return [first.lease.state(), second.lease.state()];
      },
      expected: [NOT_HELD, HELD(2)],
    },
  ];
  for (const { name, run, expected } of cases) {
    it(name, async () => {
      const seen: unknown = await run(createBench());
      expect(seen).toEqual(expected);
    });
  }
});
