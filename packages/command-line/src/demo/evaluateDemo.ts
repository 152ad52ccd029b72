import type { CallerRecord } from '@rattanreel/load';
import type { DemoEvidence, DemoReport } from './types';

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Sums executions by name over several stand-ins. */
function addExecutions(
  counts: readonly { readonly name: string; readonly executions: number }[],
): Map<string, number> {
  const totals = new Map<string, number>();
  counts.forEach(({ name, executions }) => {
    totals.set(name, (totals.get(name) ?? 0) + executions);
  });
  return totals;
}

function countAbove(counts: ReadonlyMap<string, number>, threshold: number): number {
  return [...counts.values()].filter((count) => count > threshold).length;
}

/**
 * Returns whether a caller received a "not run" refusal although its request ran. All submissions of
 * an order under one key count as one order, which ran if any of them did.
 */
function isFalseNotRun(
  record: CallerRecord,
  runs: ReadonlyMap<string, number>,
  bookings: ReadonlyMap<string, number>,
): boolean {
  if (record.outcome !== 'refusedNotRun') {
    return false;
  }
  if (record.planned.kind === 'order') {
    return (bookings.get(record.planned.reference) ?? 0) > 0;
  }
  return record.request !== undefined && (runs.get(record.request) ?? 0) > 0;
}

/** Evaluates a demo by the records of stand-ins and callers, not by the product's own reports. */
export default function evaluateDemo({ run, engines, orderBooks }: DemoEvidence): DemoReport {
  const audits = engines.flatMap((engine) => engine.getAudits());
  const serviceAudits = orderBooks.map((orderBook) => orderBook.getAudit());
  const calls = serviceAudits.flatMap(({ requests }) => requests);
  const dispatches = addExecutions([
    ...audits.map((audit) => ({ name: audit.request, executions: audit.dispatches })),
    ...calls,
  ]);
  const runs = addExecutions([
    ...audits
      .filter(({ state }) => state !== 'refused')
      .map(({ request }) => ({ name: request, executions: 1 })),
    ...calls,
  ]);
  const bookings = addExecutions(serviceAudits.flatMap((audit) => audit.bookings));
  const prefilled = sum(audits.map((audit) => audit.prefilledTokens));
  const wasted = sum(audits.map((audit) => audit.wastedPrefillTokens));
  const { outcomes } = run.summary;
  return {
    requests: run.summary.requests,
    ...outcomes,
    crossedAnswers: run.summary.crossedAnswers,
    dispatchedTwice: countAbove(dispatches, 1),
    ordersBooked: countAbove(bookings, 0),
    ordersBookedTwice: countAbove(bookings, 1),
    falseNotRun: run.records.filter((record) => isFalseNotRun(record, runs, bookings)).length,
    goodputByTier: Object.fromEntries(
      run.summary.tiers.map(({ tier, goodputShare }) => [tier, goodputShare]),
    ),
    wastedPrefillShare: prefilled === 0 ? 0 : wasted / prefilled,
  };
}
