import type { Milliseconds } from '@rattanreel/core';
import soakLimits from './soakLimits';
import type { SoakRecord, Violation } from './types';

/** The largest number of these moments within one window. */
function countMost(moments: readonly Milliseconds[], window: Milliseconds): number {
  const sorted = [...moments].sort((left, right) => left - right);
  let first = 0;
  return sorted.reduce((most, at, last) => {
    while (at - sorted[first]! > window) {
      first += 1;
    }
    return Math.max(most, last - first + 1);
  }, 0);
}

function findQuotaViolations({ runs }: SoakRecord): readonly Violation[] {
  const { customer, ratePerSecond, burst, window, over, slack } = soakLimits.quota;
  const most = (ratePerSecond * (window / 1_000) + burst) * (1 + over) + slack;
  const ofCustomer = runs.filter((run) => run.customer === customer).map(({ at }) => at);
  const spent = countMost(ofCustomer, window);
  return spent > most ? [{ promise: 'quota', detail: `${spent} runs, at most ${most}` }] : [];
}

function findBudgetViolations(record: SoakRecord): readonly Violation[] {
  const { ratio, window, slack } = soakLimits.repeats;
  const services = new Set(record.arrivals.map(({ service }) => service));
  return [...services].flatMap((service) => {
    const seen = new Set<string>();
    const ofService = record.arrivals.filter((arrival) => arrival.service === service);
    const repeats = ofService.filter(({ id }) => {
      const isRepeat = seen.has(id);
      seen.add(id);
      return isRepeat;
    });
    const asked = countMost(
      ofService.map(({ at }) => at),
      window,
    );
    const repeated = countMost(
      repeats.map(({ at }) => at),
      window,
    );
    return repeated > ratio * asked + slack
      ? [{ promise: 'budget', detail: `${service}: ${repeated} repeats of ${asked}` }]
      : [];
  });
}

/** Limits that hold over all hosts. */
export default function findLimitViolations(record: SoakRecord): readonly Violation[] {
  return [...findQuotaViolations(record), ...findBudgetViolations(record)];
}
