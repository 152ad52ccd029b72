import { describe, it } from 'node:test';
import { expect } from 'earl';
import createServerSpeeds from './createServerSpeeds';
import selectChangedSpeeds from './selectChangedSpeeds';

describe('createServerSpeeds', () => {
  it('lets a slowdown decay toward the usual speed with the age of its report', () => {
    const speeds = createServerSpeeds();
    speeds.record('a', { slowdown: 5, observedAt: 1_000 });
    expect([1_000, 3_000, 5_000].map((now) => speeds.getSlowdown('a', now))).toEqual([5, 3, 2]);
    expect(speeds.getSlowdown('unknown', 1_000)).toEqual(1);
  });

  it('merges reports of other hosts by their time, in any order', () => {
    const reports = [{ a: [4, 100] }, { a: [1, 500] }, { a: [2, 900] }] as const;
    [reports, [...reports].reverse()].forEach((ordered) => {
      const speeds = createServerSpeeds();
      ordered.forEach((report) => speeds.merge(report, 10_000));
      expect(speeds.tryGetLatest('a')).toEqual({ slowdown: 4, observedAt: 9_900 });
    });
  });

  it('says when a change should be known at once', () => {
    const speeds = createServerSpeeds();
    const isNotable = [1, 4, 4, 1].map((slowdown, index) =>
      speeds.record('a', { slowdown, observedAt: index }),
    );
    expect(isNotable).toEqual([false, true, false, true]);
  });

  // Reports of reports would never end, and a deployment without the figure would send more.
  it('reports its own observations only, of servers that were slow of late', () => {
    const speeds = createServerSpeeds();
    speeds.merge({ other: [4, 0] }, 1_000);
    speeds.record('usual', { slowdown: 1, observedAt: 1_000 });
    expect(speeds.tryGetReports(1_000)).toEqual(undefined);
    speeds.record('recovered', { slowdown: 4, observedAt: 1_000 });
    speeds.record('recovered', { slowdown: 1, observedAt: 1_500 });
    expect(speeds.tryGetReports(1_600)).toEqual({ recovered: [1, 100] });
    expect(speeds.tryGetReports(20_000)).toEqual(undefined);
  });

  // The times of a server that is always slow would never be learnt.
  it('takes for usual what lasts longer than a slowdown', () => {
    const speeds = createServerSpeeds();
    speeds.record('a', { slowdown: 1.5, observedAt: 1_000 });
    expect(speeds.wasSlowSince('a', 900)).toEqual(true);
    speeds.record('a', { slowdown: 1.5, observedAt: 10_000 });
    expect(speeds.wasSlowSince('a', 9_900)).toEqual(false);
  });

  it('forgets servers that are no longer listed', () => {
    const speeds = createServerSpeeds();
    speeds.record('a', { slowdown: 4, observedAt: 1_000 });
    speeds.retainServers(new Set(['b']));
    expect(speeds.getSlowdown('a', 1_000)).toEqual(1);
  });

  it('repeats in a change only what differs from the last message', () => {
    const before = { a: [4, 10], b: [1, 20] } as const;
    expect(selectChangedSpeeds(before, { a: [4, 200], b: [1, 30] })).toEqual(undefined);
    expect(selectChangedSpeeds(before, { a: [1, 0], b: [1, 30] })).toEqual({ a: [1, 0] });
    expect(selectChangedSpeeds(undefined, undefined)).toEqual(undefined);
  });
});
