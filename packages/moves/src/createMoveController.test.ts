import { describe, it } from 'node:test';
import { expect } from 'earl';
import createMoveController from './createMoveController';
import createMoveRecord from './createMoveRecord';
import getMoveIdentity from './getMoveIdentity';
import type {
  DomainReport,
  MoveController,
  MoveControllerMessage,
  MoveRecord,
  WriteRecord,
} from './types';

const MINUTE = 60_000;
const LAST_STEP = 8;
const RECORD = createRecord({});
const MOVE = getMoveIdentity(RECORD);
const tick: MoveControllerMessage = { kind: 'timePassed' };

function createRecord(fields: Partial<MoveRecord>): MoveRecord {
  const times = { startedAt: 0, deadline: 10 * MINUTE, bakeTime: MINUTE };
  const made = createMoveRecord({ pool: 'drafts', from: '1', to: '2', ...times });
  if (made.kind === 'error') {
    throw new RangeError(made.error.kind);
  }
  return { ...made.value, ...fields };
}

function createReport(failureDomain: string, fields: Partial<DomainReport>): DomainReport {
  const step = fields.step ?? -1;
  return {
    kind: 'domainReport',
    move: MOVE,
    failureDomain,
    generation: 1,
    step,
    stepSince: 0,
    share: RECORD.steps[step]?.share ?? 0,
    oldInFlight: 0,
    suspicious: false,
    vetoed: false,
    bearableShare: 1,
    cells: [{ route: 'quotes', tier: 0, newRequests: 40, oldRequests: 400 }],
    units: [],
    ...fields,
  };
}

function createLeaseChanged(generation: number): MoveControllerMessage {
  return { kind: 'leaseChanged', lease: { kind: 'held', generation } };
}

function createRecordSeen(record: MoveRecord, version: number): MoveControllerMessage {
  return { kind: 'recordSeen', stored: { record, version } };
}

function createController(): MoveController {
  return createMoveController({ pool: 'drafts', failureDomains: ['rennes', 'brest'] });
}

function tryGetWrite(
  controller: MoveController,
  message: MoveControllerMessage,
  now: number,
): WriteRecord | undefined {
  return controller.handle(message, now).find((effect) => effect.kind === 'writeRecord');
}

interface Situation {
  readonly name: string;
  readonly record: Partial<MoveRecord>;
  readonly reports: readonly (Partial<DomainReport> | undefined)[];
  readonly now: number;
  /** Expected fields of the written record; undefined when nothing must be written. */
  readonly written: Partial<MoveRecord> | undefined;
}

const due = RECORD.steps[3]!.notBefore;
const atLastStep = { step: LAST_STEP };
const atFullShare = { step: LAST_STEP, fullShareAt: 8 * MINUTE };

describe(createMoveController.name, () => {
  const situations: readonly Situation[] = [
    { name: 'takes the first step', record: {}, reports: [{}, {}], now: 0, written: { step: 0 } },
    {
      name: 'takes a step that is due',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 2 }],
      now: due,
      written: { step: 3 },
    },
    {
      name: 'waits until the step is due',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 2 }],
      now: due - 1,
      written: undefined,
    },
    {
      name: 'waits for a missing report',
      record: { step: 2 },
      reports: [{ step: 2 }, undefined],
      now: due,
      written: undefined,
    },
    {
      name: 'waits for a failure domain at an earlier step',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 1 }],
      now: due,
      written: undefined,
    },
    {
      name: 'waits while a failure domain suspects a regression',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 2, suspicious: true }],
      now: due,
      written: undefined,
    },
    {
      name: 'waits for evidence',
      record: { step: 2 },
      reports: [
        { step: 2, cells: [] },
        { step: 2, cells: [] },
      ],
      now: due,
      written: undefined,
    },
    {
      name: 'waits for evidence on each route',
      record: { step: 2 },
      reports: [
        { step: 2 },
        { step: 2, cells: [{ route: 'claims', tier: 0, newRequests: 0, oldRequests: 400 }] },
      ],
      now: due,
      written: undefined,
    },
    {
      name: 'waits for capacity',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 2, bearableShare: 0.1 }],
      now: due,
      written: undefined,
    },
    {
      name: 'records steps that failure domains took locally',
      record: { step: 2 },
      reports: [{ step: 5 }, { step: 6 }],
      now: due,
      written: { step: 5 },
    },
    {
      name: 'sets late as soon as too many steps are left',
      record: { step: 2 },
      reports: [{ step: 2 }, { step: 2 }],
      now: 10 * MINUTE - 5 * 20_000 + 1,
      written: { late: true },
    },
    {
      name: 'does not set late while every step could still be taken',
      record: { step: 2 },
      reports: [
        { step: 2, cells: [] },
        { step: 2, cells: [] },
      ],
      now: 10 * MINUTE - 5 * 20_000,
      written: undefined,
    },
    {
      name: 'does not set late when full share was reached in time',
      record: atLastStep,
      reports: [
        { ...atLastStep, stepSince: 9 * MINUTE },
        { ...atLastStep, stepSince: 10 * MINUTE },
      ],
      now: 11 * MINUTE,
      written: { late: false, fullShareAt: 10 * MINUTE },
    },
    {
      name: 'is done after the bake time',
      record: atFullShare,
      reports: [atLastStep, atLastStep],
      now: 9 * MINUTE,
      written: { verdict: 'done' },
    },
    {
      name: 'is not done within the bake time',
      record: atFullShare,
      reports: [atLastStep, atLastStep],
      now: 9 * MINUTE - 1,
      written: undefined,
    },
    {
      name: 'is not done while requests of the old version are in flight',
      record: atFullShare,
      reports: [atLastStep, { ...atLastStep, oldInFlight: 1 }],
      now: 9 * MINUTE,
      written: undefined,
    },
    {
      name: 'is not done while a failure domain has not confirmed full share',
      record: atFullShare,
      reports: [atLastStep, { step: LAST_STEP - 1 }],
      now: 9 * MINUTE,
      written: undefined,
    },
    {
      name: 'is not done while a failure domain suspects a regression',
      record: atFullShare,
      reports: [atLastStep, { ...atLastStep, suspicious: true }],
      now: 9 * MINUTE,
      written: undefined,
    },
    {
      name: 'writes nothing under an older lease generation than the record’s',
      record: { step: 2, controllerGeneration: 8 },
      reports: [{ step: 2 }, { step: 2 }],
      now: due,
      written: undefined,
    },
    ...(['done', 'takenBack', 'cancelled'] as const).map((verdict) => ({
      name: `writes nothing after ${verdict}`,
      record: { ...atFullShare, verdict },
      reports: [atLastStep, atLastStep],
      now: 9 * MINUTE,
      written: undefined,
    })),
  ];
  for (const { name, record, reports, now, written } of situations) {
    it(name, () => {
      const controller = createController();
      controller.handle(createLeaseChanged(7), 0);
      controller.handle(createRecordSeen(createRecord(record), 5), now - 30_000);
      reports.forEach((fields, index) => {
        if (fields !== undefined) {
          const report = createReport(index === 0 ? 'rennes' : 'brest', fields);
          controller.handle({ kind: 'reportHeard', report }, now);
        }
      });
      const write = tryGetWrite(controller, tick, now);
      if (written === undefined) {
        expect(write).toEqual(undefined);
        return;
      }
      expect(write?.version).toEqual(5);
      expect({ ...write?.record, ...written }).toEqual({ ...write?.record });
      expect(write?.record.controllerGeneration).toEqual(7);
    });
  }

  it('waits for reports before it sets late when it starts after the deadline', () => {
    const controller = createController();
    const start = 12 * MINUTE;
    controller.handle(createLeaseChanged(3), start);
    controller.handle(createRecordSeen(createRecord({ step: 5 }), 5), start);
    expect(tryGetWrite(controller, tick, start + 1_000)).toEqual(undefined);
    ['rennes', 'brest'].forEach((domain) => {
      const report = createReport(domain, { ...atLastStep, stepSince: 9 * MINUTE });
      controller.handle({ kind: 'reportHeard', report }, start + 1_500);
    });
    const write = tryGetWrite(controller, tick, start + 2_000);
    expect(write?.record.late).toEqual(false);
    expect(write?.record.step).toEqual(LAST_STEP);
  });

  it('sets late when a reachable failure domain still does not report after the deadline', () => {
    const controller = createController();
    controller.handle(createLeaseChanged(3), 0);
    controller.handle(createRecordSeen(createRecord({ step: 5 }), 5), 0);
    expect(tryGetWrite(controller, tick, 10 * MINUTE + 5_000)).toEqual(undefined);
    expect(tryGetWrite(controller, tick, 10 * MINUTE + 5_001)?.record.late).toEqual(true);
  });

  it('writes nothing without the lease', () => {
    const controller = createController();
    controller.handle(createRecordSeen(RECORD, 1), 0);
    expect(tryGetWrite(controller, tick, 0)).toEqual(undefined);
  });

  it('writes nothing more after a write conflicts with the verdict of a newer controller', () => {
    const controller = createController();
    controller.handle(createLeaseChanged(3), 0);
    controller.handle(createRecordSeen(createRecord({ step: 2 }), 5), 0);
    ['rennes', 'brest'].forEach((domain) => {
      const report = createReport(domain, { step: 2 });
      controller.handle({ kind: 'reportHeard', report }, due);
    });
    expect(tryGetWrite(controller, tick, due)?.version).toEqual(5);
    const takenBackRecord = createRecord({ step: 2, generation: 4, verdict: 'takenBack' });
    const answer = { kind: 'conflict' as const, stored: { record: takenBackRecord, version: 9 } };
    expect(tryGetWrite(controller, { kind: 'recordAnswered', answer }, due + 1)).toEqual(undefined);
    expect(tryGetWrite(controller, tick, due + MINUTE)).toEqual(undefined);
  });
});
