import { describe, it } from 'node:test';
import { expect } from 'earl';
import createReportCache from './createReportCache';
import createReportPacer from './createReportPacer';
import getMovePolicy from './getMovePolicy';
import type { DomainReport, SegmentEvidence } from './types';

const policy = getMovePolicy(undefined);
const move = { pool: 'drafts', to: '2', startedAt: 0 };

function createReport(statistics: Partial<SegmentEvidence>): DomainReport {
  const withoutEvidence = {
    failureRate: 0.5,
    failureRatio: 0.5,
    firstToken: 0.5,
    betweenTokens: 0.5,
  };
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
    units: [{ route: undefined, tier: undefined, ...withoutEvidence, ...statistics }],
  };
}

describe(createReportPacer.name, () => {
  const cases: readonly {
    readonly name: string;
    readonly statistics: Partial<SegmentEvidence>;
    readonly now: number;
    readonly units: number;
  }[] = [
    { name: 'omits inconclusive evidence', statistics: {}, now: 9_999, units: 0 },
    {
      name: 'sends inconclusive evidence again after the interval',
      statistics: {},
      now: 10_000,
      units: 1,
    },
    {
      name: 'sends evidence of slowness immediately',
      statistics: { firstToken: 6 },
      now: 1_000,
      units: 1,
    },
    {
      name: 'sends evidence of failures immediately when both tests show it',
      statistics: { failureRate: 6, failureRatio: 7 },
      now: 1_000,
      units: 1,
    },
    {
      name: 'omits evidence of failures when only one test shows it',
      statistics: { failureRate: 60 },
      now: 1_000,
      units: 0,
    },
  ];
  for (const { name, statistics, now, units } of cases) {
    it(name, () => {
      const pacer = createReportPacer(policy);
      expect(pacer.prepareReport(createReport({}), 0).units.length).toEqual(1);
      expect(pacer.isDue(999)).toEqual(false);
      expect(pacer.isDue(1_000)).toEqual(true);
      expect(pacer.prepareReport(createReport(statistics), now).units.length).toEqual(units);
    });
  }
});

describe(createReportCache.name, () => {
  it('keeps the evidence of the previous report when a report omits it', () => {
    const cache = createReportCache(policy.reportLifetime);
    cache.add(createReport({ firstToken: 3 }), 0);
    cache.add({ ...createReport({}), units: [] }, 1_000);
    expect(cache.getLatestReports(move)[0]?.units[0]?.firstToken).toEqual(3);
    cache.add({ ...createReport({}), move: { ...move, startedAt: 9 }, units: [] }, 2_000);
    expect(cache.getLatestReports({ ...move, startedAt: 9 })[0]?.units).toEqual([]);
  });

  it('returns fresh reports only when every failure domain has one', () => {
    const cache = createReportCache(policy.reportLifetime);
    cache.add(createReport({}), 0);
    expect(cache.tryGetFreshReports(move, ['brest'], 5_000)?.length).toEqual(1);
    expect(cache.tryGetFreshReports(move, ['brest'], 5_001)).toEqual(undefined);
    expect(cache.tryGetFreshReports(move, ['brest', 'rennes'], 1)).toEqual(undefined);
  });
});
