import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Milliseconds, VirtualClock } from '@rattanreel/core';
import {
  createModelStoreClient,
  createObjectStoreModel,
  runInVirtualTime,
} from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import createObjectStore from './createObjectStore';
import sleep from './sleep';
import type { CallBudget, ObjectStore, WatchEvent } from './types';

const DEADLINE: Milliseconds = 2_500;
const KIND = 'thing';

interface Stage {
  readonly clock: VirtualClock;
  readonly model: ObjectStoreModel;
  readonly store: ObjectStore;
  wait(span: Milliseconds): Promise<void>;
  finish<Value>(work: Promise<Value>): Promise<Value>;
}

function createStage(callBudget: Partial<CallBudget> = {}): Stage {
  const clock = createVirtualClock();
  const random = createRandom(3);
  const model = createObjectStoreModel({ clock, random, historyLength: 3 });
  const finish = <Value>(work: Promise<Value>) => runInVirtualTime(clock, work);
  return {
    clock,
    model,
    store: createModelStoreClient({ model, clock, random, callBudget, deadline: DEADLINE }),
    finish,
    wait: (span) => finish(sleep(clock, span)),
  };
}

/** Clears the faults of the store after a delay. */
function recoverAfter({ clock, model }: Stage, delay: Milliseconds): void {
  clock.after(delay, () => model.setFaults({ outage: 'none', extraLatency: 0 }));
}

const CALLS: readonly {
  readonly name: string;
  readonly budget?: Partial<CallBudget>;
  readonly run: (stage: Stage) => Promise<unknown>;
  readonly expected: unknown;
}[] = [
  {
    name: 'retries a read whose answer was lost',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'silent' });
      recoverAfter(stage, 500);
      return stage.finish(stage.store.get(KIND, 'a'));
    },
    expected: { kind: 'error', error: { kind: 'notFound' } },
  },
  {
    name: 'does not retry a write whose answer was lost, and reports that its outcome is unknown',
    run: async (stage) => {
      stage.model.failNextWrite({ kind: 'loseAnswer' });
      const made = await stage.finish(stage.store.create(KIND, 'a', 1));
      return { made, writes: stage.model.getCounts().writes };
    },
    expected: { made: { kind: 'error', error: { kind: 'outcomeUnknown' } }, writes: 1 },
  },
  {
    name: 'retries a write that the store refused',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'refusing' });
      recoverAfter(stage, 1_000);
      return stage.finish(stage.store.create(KIND, 'a', 1));
    },
    expected: { kind: 'ok', value: { kind: KIND, name: 'a', version: 1, value: 1 } },
  },
  {
    name: 'bounds every wait in an outage',
    run: async (stage) => {
      stage.model.setFaults({ outage: 'silent' });
      const made = await stage.finish(
        Promise.all([stage.store.get(KIND, 'a'), stage.store.create(KIND, 'a', 1)]),
      );
      const kinds = made.map((each) => (each.kind === 'error' ? each.error.kind : each.kind));
      return { kinds, isInTime: stage.clock.now() <= DEADLINE };
    },
    expected: { kinds: ['unavailable', 'outcomeUnknown'], isInTime: true },
  },
  {
    name: 'bounds every wait while the store is slow',
    run: async (stage) => {
      stage.model.setFaults({ extraLatency: 60_000 });
      const made = await stage.finish(stage.store.list(KIND));
      return { kind: made.kind, isInTime: stage.clock.now() <= DEADLINE };
    },
    expected: { kind: 'error', isInTime: true },
  },
  {
    name: 'refuses calls beyond the budget of this process',
    budget: { callsPerSecond: 1, burst: 2 },
    run: async (stage) => {
      const calls = Array.from({ length: 6 }, () => stage.store.get(KIND, 'a'));
      const made = await stage.finish(Promise.all(calls));
      return made.filter((each) => each.kind === 'error' && each.error.kind === 'callBudgetSpent')
        .length;
    },
    expected: 2,
  },
  {
    name: 'completes every write of a burst above the rate limit of the store',
    budget: { callsPerSecond: 5_000, burst: 5_000 },
    run: async (stage) => {
      const calls = Array.from({ length: 400 }, (_, index) =>
        stage.store.create(KIND, `n${index}`, 1),
      );
      const made = await stage.finish(Promise.all(calls));
      const { writes, refused } = stage.model.getCounts();
      return {
        isEachMade: made.every(({ kind }) => kind === 'ok'),
        writes,
        wasLimited: refused >= 100,
      };
    },
    expected: { isEachMade: true, writes: 400, wasLimited: true },
  },
];

/** Ways to disturb a watch, which must still report every change. */
const WATCHES: readonly {
  readonly name: string;
  readonly disturb: (stage: Stage) => Promise<void>;
}[] = [
  { name: 'nothing disturbs it', disturb: async () => undefined },
  {
    name: 'its connection breaks',
    disturb: async (stage) => stage.model.endWatches(),
  },
  {
    name: 'its connection stops delivering data',
    disturb: async (stage) => stage.model.stallWatches(),
  },
  {
    name: 'it was disconnected for longer than the history of the store',
    disturb: async (stage) => {
      stage.model.stallWatches();
      for (let index = 0; index < 8; index += 1) {
        await stage.finish(stage.store.create('other', `n${index}`, 1));
      }
      stage.model.endWatches();
    },
  },
  {
    name: 'the store has an outage',
    disturb: async (stage) => {
      stage.model.setFaults({ outage: 'refusing' });
      stage.model.endWatches();
      await stage.wait(90_000);
      stage.model.setFaults({ outage: 'none' });
    },
  },
];

describe(createObjectStore.name, () => {
  for (const { name, budget, run, expected } of CALLS) {
    it(name, async () => {
      const seen = await run(createStage(budget));
      expect(seen).toEqual(expected);
    });
  }

  for (const { name, disturb } of WATCHES) {
    it(`reports every change to a watch when ${name}`, async () => {
      const stage = createStage();
      await stage.finish(stage.store.create(KIND, 'kept', 'old'));
      await stage.finish(stage.store.create(KIND, 'dropped', 'old'));
      const known = new Map<string, unknown>();
      stage.store.watch(KIND, (event: WatchEvent) => {
        if (event.kind === 'listed') {
          known.clear();
          event.list.items.forEach((item) => known.set(item.name, item.value));
        } else if (event.kind === 'changed') {
          known.set(event.object.name, event.object.value);
        } else if (event.kind === 'removed') {
          known.delete(event.name);
        }
      });
      await stage.wait(100);
      await disturb(stage);
      await stage.finish(stage.store.update(KIND, 'kept', 'new', 1));
      await stage.finish(stage.store.remove(KIND, 'dropped', 2));
      await stage.wait(30_000);
      expect([...known]).toEqual([['kept', 'new']]);
    });
  }

  it('reports to a watch that the store is unreachable', async () => {
    const stage = createStage();
    const kinds: string[] = [];
    stage.store.watch(KIND, (event) => kinds.push(event.kind));
    await stage.wait(100);
    stage.model.setFaults({ outage: 'silent' });
    await stage.wait(30_000);
    expect(kinds.slice(0, 2)).toEqual(['listed', 'lost']);
  });
});
