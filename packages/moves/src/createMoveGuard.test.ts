import { describe, it } from 'node:test';
import { expect } from 'earl';
import createMoveGuard from './createMoveGuard';
import createMoveRecord from './createMoveRecord';
import getMoveIdentity from './getMoveIdentity';
import type {
  DomainReport,
  MoveGuardEffect,
  MoveGuardMessage,
  MovePlanOptions,
  MoveRecord,
  MoveVeto,
  RecordSeen,
} from './types';

const SETTLED_AT = 3_000;
const PLAN: MovePlanOptions = {
  pool: 'drafts',
  from: '1',
  to: '2',
  startedAt: 0,
  deadline: 600_000,
  bakeTime: 60_000,
};
const RECORD = createRecord({ step: 2 });
const MOVE = getMoveIdentity(RECORD);
const SHARE = RECORD.steps[2]!.share;
const VETO: MoveVeto = {
  kind: 'moveVeto',
  move: MOVE,
  reason: { ground: 'errors', route: '*', tier: 0, failureDomain: 'brest', detail: 'fails' },
};
const tick: MoveGuardMessage = { kind: 'timePassed' };

function createRecord(
  fields: Partial<MoveRecord>,
  plan: Partial<MovePlanOptions> = {},
): MoveRecord {
  const made = createMoveRecord({ ...PLAN, ...plan });
  if (made.kind === 'error') {
    throw new RangeError(made.error.kind);
  }
  return { ...made.value, ...fields };
}

function createRecordSeen(record: MoveRecord, version: number): RecordSeen {
  return { kind: 'recordSeen', stored: { record, version } };
}

function createFailureEvidence(version: string): MoveGuardMessage {
  return {
    kind: 'versionEvidence',
    version,
    route: 'quotes',
    tier: 0,
    failed: version === '2',
    firstTokenAfter: undefined,
    betweenTokens: undefined,
    outputTokens: 0,
    promptTokens: 10,
  };
}

interface Fixture {
  at(now: number, ...messages: readonly MoveGuardMessage[]): readonly MoveGuardEffect[];
  /** Share of the new version last given to the scheduler. */
  share(): number | undefined;
}

function createFixture(record = RECORD): Fixture {
  const failureDomains = ['rennes', 'brest'];
  const guard = createMoveGuard({ pool: 'drafts', failureDomain: 'rennes', failureDomains });
  let share: number | undefined;
  function at(now: number, ...messages: readonly MoveGuardMessage[]): readonly MoveGuardEffect[] {
    const effects = messages.flatMap((message) => guard.handle(message, now));
    effects.forEach((effect) => {
      if (effect.kind === 'sharesChanged') {
        share = effect.shares.find(({ version }) => version === '2')?.share;
      }
    });
    return effects;
  }
  at(0, createRecordSeen(record, 1));
  at(SETTLED_AT, tick);
  return { at, share: () => share };
}

function failUntilVetoed(fixture: Fixture): readonly MoveGuardEffect[] {
  for (let round = 0; round < 100; round += 1) {
    const effects = fixture.at(
      SETTLED_AT + round,
      createFailureEvidence('1'),
      createFailureEvidence('1'),
      createFailureEvidence('2'),
    );
    if (effects.length > 0) {
      return effects;
    }
  }
  return [];
}

describe(createMoveGuard.name, () => {
  it('gives the new version share 0 until it has settled, then the share of the step', () => {
    const fixture = createFixture();
    expect(fixture.share()).toEqual(SHARE);
    const fresh = createMoveGuard({ pool: 'drafts', failureDomain: 'a', failureDomains: ['a'] });
    fresh.handle(createRecordSeen(RECORD, 1), 0);
    expect(fresh.shares()?.[1]?.share).toEqual(0);
  });

  it('sets the share to 0 first, then announces the veto and writes the verdict', () => {
    const fixture = createFixture();
    const effects = failUntilVetoed(fixture);
    expect(effects.map(({ kind }) => kind)).toEqual([
      'vetoVersion',
      'sharesChanged',
      'announceVeto',
      'logMoveDecision',
      'writeRecord',
    ]);
    const write = effects.at(-1);
    expect(write?.kind === 'writeRecord' && write.record.verdict).toEqual('takenBack');
    expect(fixture.share()).toEqual(0);
  });

  const afterVeto: readonly {
    readonly name: string;
    readonly messages: readonly MoveGuardMessage[];
  }[] = [
    {
      name: 'a later step',
      messages: [createRecordSeen(createRecord({ step: 5, generation: 9 }), 9)],
    },
    {
      name: 'full share',
      messages: [createRecordSeen(createRecord({ step: 8, generation: 9 }), 9)],
    },
    {
      name: 'a concurrent verdict of done',
      messages: [createRecordSeen(createRecord({ step: 8, generation: 9, verdict: 'done' }), 9)],
    },
    {
      name: 'a late watch event of an older record',
      messages: [
        createRecordSeen(createRecord({ step: 5, generation: 9, verdict: 'takenBack' }), 9),
        createRecordSeen(createRecord({ step: 5, generation: 8 }), 8),
      ],
    },
    { name: 'the passing of time', messages: [tick] },
  ];
  for (const { name, messages } of afterVeto) {
    it(`keeps a vetoed share at 0 through ${name}`, () => {
      const fixture = createFixture();
      fixture.at(SETTLED_AT, { kind: 'vetoHeard', veto: VETO });
      expect(fixture.share()).toEqual(0);
      fixture.at(500_000, ...messages, tick);
      expect(fixture.share()).toEqual(0);
    });
  }

  it('ignores a late watch event of an older record', () => {
    const fixture = createFixture();
    fixture.at(
      SETTLED_AT,
      createRecordSeen(createRecord({ step: 5, generation: 9, verdict: 'takenBack' }), 9),
    );
    fixture.at(SETTLED_AT + 1, createRecordSeen(createRecord({ step: 5, generation: 8 }), 8));
    expect(fixture.share()).toEqual(0);
  });

  it('applies a veto that was received before the record', () => {
    const fixture = createFixture(createRecord({ startedAt: 5, step: 2 }));
    fixture.at(SETTLED_AT, { kind: 'vetoHeard', veto: VETO }, createRecordSeen(RECORD, 2), tick);
    expect(fixture.share()).toEqual(0);
  });

  const cancels: readonly {
    readonly name: string;
    readonly before: readonly MoveGuardMessage[];
    readonly after: readonly MoveGuardMessage[];
    readonly share: number;
    readonly decision: string;
  }[] = [
    { name: 'immediately', before: [], after: [], share: 0, decision: 'vetoed' },
    {
      name: 'by refusing it after done',
      before: [createRecordSeen(createRecord({ step: 8, generation: 4, verdict: 'done' }), 4)],
      after: [],
      share: 1,
      decision: 'cancelRefused',
    },
    {
      name: 'that loses to a verdict of done written first',
      before: [],
      after: [createRecordSeen(createRecord({ step: 8, generation: 4, verdict: 'done' }), 4)],
      share: 1,
      decision: 'vetoed',
    },
  ];
  for (const { name, before, after, share, decision } of cancels) {
    it(`handles an operator’s cancellation ${name}`, () => {
      const fixture = createFixture();
      fixture.at(SETTLED_AT, ...before);
      const request = { kind: 'cancelRequested', move: MOVE, operator: 'anne' } as const;
      const effects = fixture.at(SETTLED_AT, request);
      const logged = effects.find((effect) => effect.kind === 'logMoveDecision');
      expect(logged?.decision ?? '').toEqual(decision);
      fixture.at(SETTLED_AT + 1, ...after);
      expect(fixture.share()).toEqual(share);
    });
  }

  const answers: readonly {
    readonly name: string;
    readonly answer: MoveGuardMessage;
    readonly next: readonly string[];
  }[] = [
    {
      name: 'writes again when the store is available',
      answer: { kind: 'recordAnswered', answer: { kind: 'unavailable', retryAfter: 100 } },
      next: ['writeRecord'],
    },
    {
      name: 'reads before it writes again when the outcome is unknown',
      answer: { kind: 'recordAnswered', answer: { kind: 'outcomeUnknown' } },
      next: ['readRecord'],
    },
    {
      name: 'writes again after a conflict with a concurrent step',
      answer: {
        kind: 'recordAnswered',
        answer: {
          kind: 'conflict',
          stored: { record: createRecord({ step: 3, generation: 3 }), version: 7 },
        },
      },
      next: ['writeRecord'],
    },
    {
      name: 'does not overwrite a final verdict',
      answer: {
        kind: 'recordAnswered',
        answer: {
          kind: 'conflict',
          stored: {
            record: createRecord({ generation: 3, verdict: 'cancelled' }),
            version: 7,
          },
        },
      },
      next: [],
    },
  ];
  for (const { name, answer, next } of answers) {
    it(name, () => {
      const fixture = createFixture();
      fixture.at(SETTLED_AT, { kind: 'vetoHeard', veto: VETO });
      const effects = [
        ...fixture.at(SETTLED_AT + 10, answer),
        ...fixture.at(SETTLED_AT + 900, tick),
      ];
      const kinds = effects.map(({ kind }): string => kind);
      expect(kinds.filter((kind) => kind.endsWith('Record'))).toEqual([...next]);
      expect(fixture.share()).toEqual(0);
    });
  }
});

describe('steps without the controller', () => {
  const due = RECORD.steps[3]!.notBefore + 15_000;
  const other: DomainReport = {
    kind: 'domainReport',
    move: MOVE,
    failureDomain: 'brest',
    generation: 1,
    step: 2,
    stepSince: 0,
    share: SHARE,
    oldInFlight: 0,
    suspicious: false,
    vetoed: false,
    bearableShare: 1,
    cells: [{ route: 'quotes', tier: 0, newRequests: 40, oldRequests: 400 }],
    units: [],
  };
  const cases: readonly {
    readonly name: string;
    readonly record?: MoveRecord;
    readonly report: DomainReport | undefined;
    readonly at?: number;
    readonly step: number;
  }[] = [
    { name: 'takes a pre-authorised step that is overdue', report: other, step: 3 },
    {
      name: 'waits for the controller until the grace period has passed',
      report: other,
      at: due - 1,
      step: 2,
    },
    {
      name: 'holds when the outage policy is hold',
      record: createRecord({ step: 2 }, { outagePolicy: 'hold' }),
      report: other,
      step: 2,
    },
    { name: 'holds without a report of another failure domain', report: undefined, step: 2 },
    {
      name: 'holds when another failure domain suspects a regression',
      report: { ...other, suspicious: true },
      step: 2,
    },
    {
      name: 'holds when another failure domain has vetoed',
      report: { ...other, vetoed: true },
      step: 2,
    },
    {
      name: 'holds when another failure domain is at an earlier step',
      report: { ...other, step: 1 },
      step: 2,
    },
    { name: 'holds with too little evidence', report: { ...other, cells: [] }, step: 2 },
    { name: 'holds without capacity', report: { ...other, bearableShare: 0.1 }, step: 2 },
  ];
  for (const { name, record = RECORD, report, at = due, step } of cases) {
    it(name, () => {
      const fixture = createFixture(record);
      const messages = report === undefined ? [] : [{ kind: 'reportHeard' as const, report }];
      fixture.at(at, ...messages, tick);
      expect(fixture.share()).toEqual(RECORD.steps[step]!.share);
    });
  }
});
