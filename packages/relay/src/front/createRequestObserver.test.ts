import { describe, it } from 'node:test';
import { expect } from 'earl';
import { silentLogger } from '@rattanreel/observability';
import createStopDeadline from '../lateness/createStopDeadline';
import createRelayMetrics from './createRelayMetrics';
import createRequestObserver from './createRequestObserver';
import type { RequestObserver, RequestPlan } from './types';

const STOPS_AT = 1_000;
const ENDS_AT = 8_000;

interface StopCase {
  readonly name: string;
  readonly arrivedAt: number;
  readonly end: (observer: RequestObserver, plan: RequestPlan) => void;
  readonly counted: string | undefined;
  readonly stop: object;
}

const cases: readonly StopCase[] = [
  {
    name: 'a request that arrived before the signal and has no answer',
    arrivedAt: 900,
    end: (observer, plan) => observer.failed(plan, 502, 'stopping'),
    counted: 'beforeSignal',
    stop: { arrived: -100, since: 6_500, left: 500 },
  },
  {
    name: 'a stream that was accepted after the signal',
    arrivedAt: 4_700,
    end: (observer, plan) => observer.brokenOff(plan, 'stopping'),
    counted: 'afterSignal',
    stop: { arrived: 3_700, since: 6_500, left: 500 },
  },
  {
    name: 'none that its deadline has ended',
    arrivedAt: 4_700,
    end: (observer, plan) => observer.brokenOff(plan, 'timeout'),
    counted: undefined,
    stop: { arrived: 3_700, since: 6_500, left: 500 },
  },
];

describe('createRequestObserver of a host that stops', () => {
  cases.forEach(({ name, arrivedAt, end, counted, stop }) => {
    // Guards against logs that cannot tell what a stopping host accepted too late.
    it(`tells the arrival of, and counts, ${name}`, async () => {
      const lines: object[] = [];
      const stopDeadline = createStopDeadline();
      stopDeadline.begin({ startedAt: STOPS_AT, endsAt: ENDS_AT });
      const metrics = createRelayMetrics();
      const observer = createRequestObserver({
        logger: { ...silentLogger, warn: (fields) => lines.push(fields) },
        metrics,
        now: () => 7_500,
        stopDeadline,
        getBasis: () => ({
          configurationVersion: 1,
          serversVersion: 1,
          evacuatedVersion: 1,
          rosterVersion: 1,
          hosts: 0,
          oldest: 0,
        }),
      });
      end(observer, {
        requestId: 'r-1',
        route: { name: 'drafts' },
        priority: { rank: 0 },
        arrivedAt,
        deadlineAt: 9_000,
      } as unknown as RequestPlan);
      expect(lines).toEqual([expect.subset({ stop })]);
      const [, arrival] =
        /ended_by_stop_total\{arrival="(\w+)"\} 1/.exec(await metrics.scrape()) ?? [];
      expect(arrival).toEqual(counted);
    });
  });
});
