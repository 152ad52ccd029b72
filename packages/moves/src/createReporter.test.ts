import { describe, it } from 'node:test';
import { expect } from 'earl';
import createReportBook from './createReportBook';
import createReporter from './createReporter';
import getMovePolicy from './getMovePolicy';
import type { DomainReport, UnitEvidence } from './types';

const policy = getMovePolicy(undefined);
const move = { pool: 'drafts', to: '2', startedAt: 0 };

function makeReport(wealth: Partial<UnitEvidence>): DomainReport {
  const flat = { failureRate: 0.5, failureRatio: 0.5, firstToken: 0.5, betweenTokens: 0.5 };
  return {
    kind: 'domainReport',
    move,
    failureDomain: 'brest',
    generation: 1,
    step: 0,
    stepSince: 0,
    share: 0.01,
    oldInFlight: 0,
    suspicious: false,
    vetoed: false,
    bearableShare: 1,
    cells: [],
    units: [{ route: undefined, tier: undefined, ...flat, ...wealth }],
  };
}

describe(createReporter.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly wealth: Partial<UnitEvidence>;
    readonly now: number;
    readonly units: number;
  }[] = [
    { name: 'leaves out evidence that leans no way', wealth: {}, now: 9_999, units: 0 },
    { name: 'sends it again in time', wealth: {}, now: 10_000, units: 1 },
    { name: 'sends slowness at once', wealth: { firstToken: 6 }, now: 1_000, units: 1 },
    {
      name: 'sends failures at once when both tests lean',
      wealth: { failureRate: 6, failureRatio: 7 },
      now: 1_000,
      units: 1,
    },
    { name: 'waits when one test leans', wealth: { failureRate: 60 }, now: 1_000, units: 0 },
  ];
  for (const { name, wealth, now, units } of cases) {
    it(name, () => {
      const reporter = createReporter(policy);
      expect(reporter.send(makeReport({}), 0).units.length).toEqual(1);
      expect(reporter.isDue(999)).toEqual(false);
      expect(reporter.isDue(1_000)).toEqual(true);
      expect(reporter.send(makeReport(wealth), now).units.length).toEqual(units);
    });
  }
});

describe(createReportBook.name, () => {
  it('keeps the evidence of the report before where one leaves it out', () => {
    const book = createReportBook(policy.reportLifetime);
    book.add(makeReport({ firstToken: 3 }), 0);
    book.add({ ...makeReport({}), units: [] }, 1_000);
    expect(book.lastOf(move)[0]?.units[0]?.firstToken).toEqual(3);
    book.add({ ...makeReport({}), move: { ...move, startedAt: 9 }, units: [] }, 2_000);
    expect(book.lastOf({ ...move, startedAt: 9 })[0]?.units).toEqual([]);
  });

  it('gives fresh reports only when every failure domain has one', () => {
    const book = createReportBook(policy.reportLifetime);
    book.add(makeReport({}), 0);
    expect(book.tryGetAll(move, ['brest'], 5_000)?.length).toEqual(1);
    expect(book.tryGetAll(move, ['brest'], 5_001)).toEqual(undefined);
    expect(book.tryGetAll(move, ['brest', 'rennes'], 1)).toEqual(undefined);
  });
});
