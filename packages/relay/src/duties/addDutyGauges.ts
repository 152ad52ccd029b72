import type { GaugeReading } from '@rattanreel/observability';
import type { RelayMetrics } from '../front/types';
import type { Duties, DutyFigures } from './types';

interface DutyGauge {
  readonly name: string;
  readonly help: string;
  readonly get: (figures: DutyFigures) => number;
}

const GAUGES: readonly DutyGauge[] = [
  {
    name: 'rattanreel_duty_lease_held',
    help: 'Whether this host holds the lease of the duties (1) or not (0).',
    get: ({ isHolder }) => Number(isHolder),
  },
  {
    name: 'rattanreel_duty_token',
    help: 'Fencing token of the lease; 0 while this host does not hold it.',
    get: ({ token }) => token,
  },
  {
    name: 'rattanreel_usage_fixed_window',
    help: 'Last window whose usage was fixed or read by this host as the holder.',
    get: ({ lastFixedWindow }) => lastFixedWindow,
  },
  {
    name: 'rattanreel_usage_sent_window',
    help: 'Last window whose usage this host sent and the platform accepted.',
    get: ({ lastSentWindow }) => lastSentWindow,
  },
  {
    name: 'rattanreel_usage_pending_windows',
    help: 'Fixed windows that are not yet sent, at the holder.',
    get: ({ pending }) => pending,
  },
  {
    name: 'rattanreel_usage_lag_seconds',
    help: 'Time since the end of the oldest fixed window that is not yet sent.',
    get: ({ lag }) => lag / 1_000,
  },
  {
    name: 'rattanreel_usage_late_requests',
    help: 'Requests counted after their window was fixed, so that no report contains them.',
    get: ({ late }) => late,
  },
  {
    name: 'rattanreel_usage_rows',
    help: 'Incarnations of hosts whose counts this host knows.',
    get: ({ rows }) => rows,
  },
  {
    name: 'rattanreel_duty_clock_stepped',
    help: 'Whether windows advance by the monotonic clock after a step of the wall clock (1).',
    get: ({ isClockStepped }) => Number(isClockStepped),
  },
];

/** Adds gauges of the duties, read at each scrape. */
export default function addDutyGauges(
  metrics: Pick<RelayMetrics, 'addGauge'>,
  duties: Pick<Duties, 'getFigures'>,
): void {
  GAUGES.forEach(({ name, help, get }) =>
    metrics.addGauge({
      name,
      help,
      labelNames: [],
      read: (): readonly GaugeReading[] => [{ labels: {}, value: get(duties.getFigures()) }],
    }),
  );
  metrics.addGauge({
    name: 'rattanreel_duty_calls',
    help: 'Calls of the duties by reply, since the process started.',
    labelNames: ['reply'],
    read: () =>
      Object.entries(duties.getFigures().calls).map(([reply, value]) => ({
        labels: { reply },
        value,
      })),
  });
}
