import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { VirtualClock } from '@rattanreel/core';
import type { LeaseState } from '@rattanreel/platform';
import { createModelStoreClient, createObjectStoreModel } from '@rattanreel/stand-in-platform';
import createMoveControllerTask from './createMoveControllerTask';
import createMoveRecord from './createMoveRecord';
import getMoveIdentity from './getMoveIdentity';
import type { DomainReport, MoveRecord } from './types';

const TICK = 50;
const PLAN = { pool: 'drafts', from: '1', to: '2', startedAt: 0, deadline: 600_000, bakeTime: 0 };

async function advanceClock(clock: VirtualClock, span: number): Promise<void> {
  for (let passed = 0; passed < span; passed += TICK) {
    clock.advance(TICK);
    await setImmediate();
  }
}

function createReport(record: MoveRecord): DomainReport {
  return {
    kind: 'domainReport',
    move: getMoveIdentity(record),
    failureDomain: 'rennes',
    generation: 1,
    step: -1,
    stepSince: 0,
    share: 0,
    oldInFlight: 0,
    suspicious: false,
    vetoed: false,
    bearableShare: 1,
    cells: [],
    units: [],
  };
}

describe(createMoveControllerTask.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly lease: LeaseState;
    readonly step: number;
    readonly announced: number;
  }[] = [
    {
      name: 'writes while the lease is held',
      lease: { kind: 'held', generation: 4 },
      step: 0,
      announced: 1,
    },
    {
      name: 'writes nothing without the lease',
      lease: { kind: 'notHeld' },
      step: -1,
      announced: 0,
    },
  ];
  for (const { name, lease, step, announced } of cases) {
    it(name, async () => {
      const clock = createVirtualClock();
      const random = createRandom(6);
      const model = createObjectStoreModel({ clock, random });
      const store = createModelStoreClient({ model, clock, random });
      const made = createMoveRecord(PLAN);
      if (made.kind === 'error') {
        throw new RangeError(made.error.kind);
      }
      let announcements = 0;
      const task = createMoveControllerTask({
        store,
        lease: { state: () => lease, stop: () => Promise.resolve() },
        clock,
        failureDomains: ['rennes'],
        announceRecord: () => {
          announcements += 1;
        },
        logDecision: () => {},
      });
      const creation = store.create<MoveRecord>('move', 'drafts', made.value);
      await advanceClock(clock, 1_000);
      await creation;
      task.deliver({ kind: 'reportHeard', report: createReport(made.value) });
      await advanceClock(clock, 3_000);
      const reading = store.get<MoveRecord>('move', 'drafts');
      await advanceClock(clock, 1_000);
      const read = await reading;
      expect(read.kind === 'ok' ? read.value.value.step : undefined).toEqual(step);
      expect(announcements).toEqual(announced);
      task.close();
      await store.close();
      model.close();
    });
  }
});
