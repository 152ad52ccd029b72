import { describe, it } from 'node:test';
import { expect } from 'earl';
import changeMoveRecord from './changeMoveRecord';
import createMoveRecord from './createMoveRecord';
import getSharesInForce from './getSharesInForce';
import type { MoveChange, MoveRecord, RollbackReason } from './types';

const REASON: RollbackReason = {
  ground: 'errors',
  route: 'quotes',
  tier: 0,
  failureDomain: 'rennes',
  detail: 'fails',
};
const TAKE_BACK: MoveChange = { kind: 'takeBack', reason: REASON };

function createRecord(fields: Partial<MoveRecord>): MoveRecord {
  const times = { startedAt: 0, deadline: 600_000, bakeTime: 60_000 };
  const made = createMoveRecord({ pool: 'drafts', from: '1', to: '2', ...times });
  if (made.kind === 'error') {
    throw new RangeError(made.error.kind);
  }
  return { ...made.value, ...fields };
}

describe(changeMoveRecord.name, () => {
  const step: MoveChange = { kind: 'step', step: 1, controllerGeneration: 4 };
  const done: MoveChange = { kind: 'done', controllerGeneration: 4 };
  const cases: readonly {
    readonly name: string;
    readonly fields: Partial<MoveRecord>;
    readonly change: MoveChange;
    readonly result: string;
  }[] = [
    { name: 'takes a step', fields: { step: 0 }, change: step, result: 'ok' },
    {
      name: 'refuses a step to an earlier index',
      fields: { step: 2 },
      change: step,
      result: 'noEffect',
    },
    {
      name: 'refuses an older controller',
      fields: { controllerGeneration: 5 },
      change: step,
      result: 'staleController',
    },
    { name: 'rolls back without a lease', fields: { step: 3 }, change: TAKE_BACK, result: 'ok' },
    { name: 'cancels without a lease', fields: {}, change: { kind: 'cancel' }, result: 'ok' },
    { name: 'is not done before full share', fields: {}, change: done, result: 'noEffect' },
    { name: 'is done after full share', fields: { fullShareAt: 9 }, change: done, result: 'ok' },
    ...(['done', 'takenBack', 'cancelled'] as const).flatMap((verdict) =>
      [step, done, TAKE_BACK, { kind: 'cancel' } as const].map((change) => ({
        name: `lets ${verdict} stand against ${change.kind}`,
        fields: { verdict, fullShareAt: 9 },
        change,
        result: 'verdictFinal',
      })),
    ),
  ];
  for (const { name, fields, change, result } of cases) {
    it(name, () => {
      const outcome = changeMoveRecord(createRecord(fields), change);
      expect(outcome.kind === 'ok' ? 'ok' : outcome.error.kind).toEqual(result);
    });
  }
});

describe(getSharesInForce.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly fields: Partial<MoveRecord>;
    readonly vetoed?: boolean;
    readonly localStep?: number;
    readonly share: number;
  }[] = [
    { name: 'share 0 before the first step', fields: {}, share: 0 },
    { name: 'the share of the step', fields: { step: 0 }, share: 0.01 },
    { name: 'a step taken locally', fields: { step: 0 }, localStep: 8, share: 1 },
    { name: 'share 0 after a veto', fields: { step: 8 }, vetoed: true, share: 0 },
    { name: 'share 0 once taken back', fields: { step: 8, verdict: 'takenBack' }, share: 0 },
    { name: 'share 0 once cancelled', fields: { step: 8, verdict: 'cancelled' }, share: 0 },
    { name: 'full share once done', fields: { step: 8, verdict: 'done' }, share: 1 },
  ];
  for (const { name, fields, vetoed = false, localStep, share } of cases) {
    it(`returns ${name}`, () => {
      const shares = getSharesInForce({ record: createRecord(fields), vetoed, localStep });
      expect(shares).toEqual([
        { version: '1', share: 1 - share },
        { version: '2', share },
      ]);
    });
  }
});
