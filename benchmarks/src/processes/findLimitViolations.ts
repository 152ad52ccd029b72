import type { Milliseconds } from '@rattanreel/core';
import soakLimits from './soakLimits';
import type { SoakRecord, Violation } from './types';

/** Returns the maximum number of instants within any one window. */
function countMaximumInWindow(instants: readonly Milliseconds[], window: Milliseconds): number {
  const sorted = [...instants].sort((left, right) => left - right);
  let first = 0;
  return sorted.reduce((maximum, at, last) => {
    while (at - sorted[first]! > window) {
      first += 1;
    }
    return Math.max(maximum, last - first + 1);
  }, 0);
}

function findQuotaViolations({ runs }: SoakRecord): readonly Violation[] {
  const { customer, ratePerSecond, burst, window, tolerance, slack } = soakLimits.quota;
  const maximum = (ratePerSecond * (window / 1_000) + burst) * (1 + tolerance) + slack;
  const runTimes = runs.filter((run) => run.customer === customer).map(({ at }) => at);
  const used = countMaximumInWindow(runTimes, window);
  return used > maximum ? [{ promise: 'quota', detail: `${used} runs, at most ${maximum}` }] : [];
}

function findBudgetViolations(record: SoakRecord): readonly Violation[] {
  const { ratio, window, slack } = soakLimits.retries;
  const services = new Set(record.arrivals.map(({ service }) => service));
  return [...services].flatMap((service) => {
    const seen = new Set<string>();
    const serviceArrivals = record.arrivals.filter((arrival) => arrival.service === service);
    const retries = serviceArrivals.filter(({ id }) => {
      const isRetry = seen.has(id);
      seen.add(id);
      return isRetry;
    });
    const arrivalCount = countMaximumInWindow(
      serviceArrivals.map(({ at }) => at),
      window,
    );
    const retryCount = countMaximumInWindow(
      retries.map(({ at }) => at),
      window,
    );
    return retryCount > ratio * arrivalCount + slack
      ? [{ promise: 'budget', detail: `${service}: ${retryCount} repeats of ${arrivalCount}` }]
      : [];
  });
}

/** Finds violations of the limits that hold across all hosts. */
export default function findLimitViolations(record: SoakRecord): readonly Violation[] {
  return [...findQuotaViolations(record), ...findBudgetViolations(record)];
}
