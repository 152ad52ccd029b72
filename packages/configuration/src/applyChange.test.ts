import { describe, it } from 'node:test';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { VirtualClock } from '@rattanreel/core';
import type { ObjectStore } from '@rattanreel/platform';
import {
  createModelStoreClient,
  createObjectStoreModel,
  runInVirtualTime,
} from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import { expect } from 'earl';
import applyChange from './applyChange';
import exampleSettings from './changes/exampleSettings';
import configurationLocation from './changes/configurationLocation';
import parseAcceptedConfiguration from './parseAcceptedConfiguration';
import type { AcceptedConfiguration, DrainTarget, SettingsChange } from './types';

interface Bench {
  readonly clock: VirtualClock;
  readonly model: ObjectStoreModel;
  readonly store: ObjectStore;
  /** Applies a change and returns a description of its outcome. */
  apply(changeId: string, change: SettingsChange, current?: AcceptedConfiguration): Promise<string>;
  readStored(): Promise<AcceptedConfiguration>;
}

const east: DrainTarget = { kind: 'failureDomain', id: 'east' };
const replace = (weight: number): SettingsChange => {
  const settings = exampleSettings.read();
  const customers = settings.customers.map((customer) => ({ ...customer, weight }));
  return { kind: 'replaceSettings', settings: { ...settings, customers } };
};

function createBench(): Bench {
  const clock = createVirtualClock();
  const random = createRandom(5);
  const model = createObjectStoreModel({ clock, random });
  const store = createModelStoreClient({ clock, random, model });

  async function readStored(): Promise<AcceptedConfiguration> {
    const read = await store.get(configurationLocation.objectKind, configurationLocation.name);
    const parsed = parseAcceptedConfiguration(read.kind === 'ok' ? read.value.value : undefined);
    return parsed.kind === 'ok' ? parsed.value : exampleSettings.accept(0);
  }

  return {
    clock,
    model,
    store,
    readStored,
    async apply(changeId, change, current) {
      const author = 'test';
      const options = { store, clock, random, author, changeId, change, current };
      const applied = await applyChange(options);
      if (applied.kind === 'ok') {
        return `${applied.value.kind} ${applied.value.generation}`;
      }
      return applied.error.kind === 'changeConflict'
        ? `conflict ${applied.error.differences.map(({ path }) => path).join(' ')}`
        : applied.error.kind;
    },
  };
}

interface ChangeCase {
  readonly name: string;
  readonly run: (bench: Bench) => Promise<readonly string[]>;
  readonly expected: readonly string[];
  readonly generation: number;
}

const CASES: readonly ChangeCase[] = [
  {
    name: 'the first configuration gets generation 1',
    run: async ({ apply }) => [await apply('a', replace(1))],
    expected: ['accepted 1'],
    generation: 1,
  },
  {
    name: 'a change retried under its id is accepted once',
    run: async ({ apply }) => [await apply('a', replace(1)), await apply('a', replace(1))],
    expected: ['accepted 1', 'alreadyAccepted 1'],
    generation: 1,
  },
  {
    name: 'of two concurrent changes one is accepted and the other reports the differences',
    async run({ apply, readStored }) {
      await apply('a', replace(1));
      const base = await readStored();
      return Promise.all([apply('b', replace(2), base), apply('c', replace(3), base)]);
    },
    expected: [
      'accepted 2',
      'conflict customers[workshop].weight customers[office].weight customers[school].weight',
    ],
    generation: 2,
  },
  {
    name: 'two concurrent drains are both accepted',
    async run({ apply }) {
      await apply('a', replace(1));
      const other: DrainTarget = { kind: 'entryHost', id: 'west-1' };
      const results = await Promise.all([
        apply('b', { kind: 'drain', target: east }),
        apply('c', { kind: 'drain', target: other }),
      ]);
      return results.toSorted();
    },
    expected: ['accepted 2', 'accepted 3'],
    generation: 3,
  },
  {
    name: 'a change whose answer was lost is recognised in the store',
    async run({ apply, model }) {
      await apply('a', replace(1));
      model.failNextWrite({ kind: 'loseAnswer' });
      return [await apply('b', { kind: 'drain', target: east })];
    },
    expected: ['accepted 2'],
    generation: 2,
  },
  {
    name: 'a write that arrives late takes effect once',
    async run({ apply, model, clock }) {
      await apply('a', replace(1));
      model.failNextWrite({ kind: 'landLate', delay: 4_000 });
      const result = await apply('b', { kind: 'drain', target: east });
      await new Promise<void>((resolve) => {
        clock.after(10_000, resolve);
      });
      return [result];
    },
    expected: ['accepted 2'],
    generation: 2,
  },
  {
    name: 'a change followed by another is still found',
    async run({ apply }) {
      await apply('a', replace(1));
      await apply('b', { kind: 'drain', target: east });
      return [await apply('a', replace(1))];
    },
    expected: ['alreadyAccepted 1'],
    generation: 2,
  },
  {
    name: 'replaced settings keep drained targets',
    async run({ apply, readStored }) {
      await apply('a', replace(1));
      await apply('b', { kind: 'drain', target: east });
      await apply('c', replace(4), await readStored());
      return (await readStored()).settings.drained.failureDomains;
    },
    expected: ['east'],
    generation: 3,
  },
  {
    name: 'repeated drains and restores have no effect',
    async run({ apply }) {
      await apply('a', replace(1));
      const results = [];
      for (const kind of ['drain', 'drain', 'restore', 'restore'] as const) {
        results.push(await apply(`${kind}${results.length}`, { kind, target: east }));
      }
      return results;
    },
    expected: ['accepted 2', 'unchanged 2', 'accepted 3', 'unchanged 3'],
    generation: 3,
  },
  {
    name: 'a local drain recorded late does not undo a restore that included it',
    async run({ apply, readStored }) {
      await apply('a', replace(1));
      const restored = await apply('b', { kind: 'restore', target: east, localDrains: ['l1'] });
      const recorded = await apply('l1', { kind: 'drain', target: east, localDrain: 'l1' });
      return [restored, recorded, ...(await readStored()).settings.drained.failureDomains];
    },
    expected: ['accepted 2', 'unchanged 2'],
    generation: 2,
  },
  {
    name: 'a drain of an unknown target is refused',
    async run({ apply }) {
      await apply('a', replace(1));
      return [await apply('b', { kind: 'drain', target: { kind: 'entryHost', id: 'nobody' } })];
    },
    expected: ['unknownDrainTarget'],
    generation: 1,
  },
  {
    name: 'a drain is refused while there is no configuration',
    run: async ({ apply }) => [await apply('a', { kind: 'drain', target: east })],
    expected: ['noConfiguration'],
    generation: 0,
  },
  {
    name: 'a store behind the active configuration is not written to',
    async run({ apply }) {
      await apply('a', replace(1));
      return [await apply('b', replace(2), exampleSettings.accept(7))];
    },
    expected: ['storeBehind'],
    generation: 1,
  },
  {
    name: 'a change is refused during an outage of the store',
    async run({ apply, model }) {
      await apply('a', replace(1));
      model.setFaults({ outage: 'refusing' });
      const result = await apply('b', { kind: 'drain', target: east });
      model.setFaults({ outage: 'none' });
      return [result];
    },
    expected: ['storeUnavailable'],
    generation: 1,
  },
];

describe(applyChange.name, () => {
  for (const { name, run, expected, generation } of CASES) {
    it(name, async () => {
      const bench = createBench();
      const results = await runInVirtualTime(bench.clock, run(bench));
      expect(results).toEqual(expected);
      const stored = await runInVirtualTime(bench.clock, bench.readStored());
      expect(stored.generation).toEqual(generation);
      bench.model.close();
    });
  }
});
