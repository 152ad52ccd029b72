import type { MeasuredWindow, Scenario } from '../types';

const REPORT_LAG_MILLISECONDS = 500;
const STALE_REPORT_LAG_MILLISECONDS = 5_000;
const MAXIMUM_NOTICE_MILLISECONDS = 10_000;
const NOTICE_SHARE = 0.15;
const BURST_SHARE = 0.15;
const SLOW_DOWN_FACTOR = 5;
const NORMAL_LOAD = 0.7;

/** Returns every scenario, with its faults placed within the measured window. */
export default function getScenarios(window: MeasuredWindow): readonly Scenario[] {
  const span = window.to - window.from;
  const at = (share: number): number => window.from + span * share;
  const notice = Math.min(MAXIMUM_NOTICE_MILLISECONDS, span * NOTICE_SHARE);
  const normal = {
    load: [{ from: 0, load: NORMAL_LOAD }],
    faults: [],
    reportLag: REPORT_LAG_MILLISECONDS,
  } as const;

  return [
    { ...normal, name: 'steady70' },
    {
      ...normal,
      name: 'overload200',
      load: [
        { from: 0, load: NORMAL_LOAD },
        { from: window.from / 2, load: 2 },
      ],
    },
    {
      ...normal,
      name: 'burst',
      load: [
        { from: 0, load: NORMAL_LOAD },
        { from: at(0.2), load: 3 },
        { from: at(0.2 + BURST_SHARE), load: NORMAL_LOAD },
      ],
    },
    {
      ...normal,
      name: 'slowEngine',
      faults: [
        { at: at(0.2), action: { kind: 'slowEngine', engine: 1, factor: SLOW_DOWN_FACTOR } },
        { at: at(0.8), action: { kind: 'slowEngine', engine: 1, factor: 1 } },
      ],
    },
    {
      ...normal,
      name: 'coldTurn',
      faults: [
        { at: at(0.2), action: { kind: 'coldTurn', engine: 1 } },
        { at: at(0.5), action: { kind: 'coldTurn', engine: 3 } },
      ],
    },
    {
      ...normal,
      name: 'domainLeavesAndReturns',
      faults: [
        { at: at(0.1), action: { kind: 'drainDomain', domain: 1 } },
        { at: at(0.1) + notice, action: { kind: 'loseDomain', domain: 1 } },
        { at: at(0.6), action: { kind: 'returnDomain', domain: 1 } },
      ],
    },
    {
      ...normal,
      name: 'schedulerHostDies',
      faults: [{ at: at(0.3), action: { kind: 'killSchedulerHost', domain: 0 } }],
    },
    { ...normal, name: 'staleReports', reportLag: STALE_REPORT_LAG_MILLISECONDS },
  ];
}
