import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'earl';
import coalesceRuns from './coalesceRuns';

type Step = 'call' | 'end' | 'fail';

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Number of calls that were made when each run began. */
  readonly begun: readonly number[];
}

const cases: readonly Case[] = [
  { name: 'one call', steps: ['call', 'end'], begun: [1] },
  { name: 'a call after a run', steps: ['call', 'end', 'call', 'end'], begun: [1, 2] },
  { name: 'a call after a failure', steps: ['call', 'fail', 'call', 'end'], begun: [1, 2] },
  { name: 'calls during a run', steps: ['call', 'call', 'call', 'end', 'end'], begun: [1, 3] },
  {
    name: 'calls during a run that fails',
    steps: ['call', 'call', 'fail', 'call', 'fail', 'end'],
    begun: [1, 2, 3],
  },
  {
    name: 'calls during both runs',
    steps: ['call', 'call', 'end', 'call', 'call', 'end', 'end'],
    begun: [1, 2, 4],
  },
];

// Guards against an older text of the settings that replaces a newer one.
describe('coalesceRuns', () => {
  cases.forEach(({ name, steps, begun }) => {
    it(`${name}: runs one at a time, the last after the last call`, async () => {
      const begunAt: number[] = [];
      const results: Promise<PromiseSettledResult<void>[]>[] = [];
      let calls = 0;
      let endRun: ((step: Step) => void) | undefined;
      const run = coalesceRuns(async () => {
        expect(endRun).toEqual(undefined);
        begunAt.push(calls);
        const end = await new Promise<Step>((resolve) => {
          endRun = resolve;
        });
        endRun = undefined;
        if (end === 'fail') {
          throw new Error('unreadable');
        }
      });
      for (const step of steps) {
        if (step === 'call') {
          calls += 1;
          results.push(Promise.allSettled([run()]));
        } else {
          endRun?.(step);
        }
        await nextTurn();
      }
      await Promise.all(results);
      expect(begunAt).toEqual([...begun]);
    });
  });
});
