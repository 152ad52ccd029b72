import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import {
  createModelStoreClient,
  createObjectStoreModel,
  runInVirtualTime,
} from '@rattanreel/stand-in-platform';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import callRecordStore from './callRecordStore';
import changeMoveRecord from './changeMoveRecord';
import createMoveRecord from './createMoveRecord';
import type { MoveRecord, RecordAnswer } from './types';

const PLAN = { pool: 'drafts', from: '1', to: '2', startedAt: 0, deadline: 600_000, bakeTime: 0 };

function unwrap<Value>(outcome: { readonly kind: string; readonly value?: Value }): Value {
  if (outcome.value === undefined) {
    throw new RangeError(outcome.kind);
  }
  return outcome.value;
}

describe(callRecordStore.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly injectFault: (model: ObjectStoreModel) => void;
    readonly versionOffset: number;
    readonly kind: RecordAnswer['kind'];
  }[] = [
    {
      name: 'accepts a write on the current version',
      injectFault: () => {},
      versionOffset: 0,
      kind: 'stands',
    },
    {
      name: 'reports a conflict for a write on another version',
      injectFault: () => {},
      versionOffset: -1,
      kind: 'conflict',
    },
    {
      name: 'reports an outage',
      injectFault: (model) => model.setFaults({ outage: 'refusing' }),
      versionOffset: 0,
      kind: 'unavailable',
    },
    {
      name: 'reports an unknown outcome after a lost answer',
      injectFault: (model) => model.setFaults({ lostAnswerShare: 1 }),
      versionOffset: 0,
      kind: 'outcomeUnknown',
    },
  ];
  for (const { name, injectFault, versionOffset, kind } of cases) {
    it(name, async () => {
      const clock = createVirtualClock();
      const random = createRandom(4);
      const model = createObjectStoreModel({ clock, random });
      const store = createModelStoreClient({ model, clock, random });
      const record = unwrap(createMoveRecord(PLAN));
      const created = unwrap(
        await runInVirtualTime(clock, store.create<MoveRecord>('move', 'drafts', record)),
      );
      injectFault(model);
      const changed = unwrap(
        changeMoveRecord(record, { kind: 'step', step: 0, controllerGeneration: 1 }),
      );
      const version = created.version + versionOffset;
      const effect = { kind: 'writeRecord', record: changed, version } as const;
      const answer = await runInVirtualTime(clock, callRecordStore(store, effect));
      expect(answer.kind).toEqual(kind);
      await store.close();
      model.close();
    });
  }
});
