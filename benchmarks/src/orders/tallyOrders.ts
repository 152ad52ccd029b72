import { build } from 'hdr-histogram-js';
import isRefusal from './isRefusal';
import checkOrder from './checkOrder';
import type { KnownOutcome, OrderHistory, OrderTally, SimulationResult } from './types';

const SHARE_DIGITS = 4;

function getFirstDispatchTime({ submissions, dispatchedAt }: OrderHistory): number | undefined {
  const [submission] = submissions;
  const [dispatched] = dispatchedAt;
  return submission === undefined || dispatched === undefined
    ? undefined
    : dispatched - submission.at;
}

function toShare(count: number, total: number): number {
  return Number((count / Math.max(1, total)).toFixed(SHARE_DIGITS));
}

/** Counts the outcomes of a set of orders. */
export default function tallyOrders(
  result: SimulationResult,
  histories: readonly OrderHistory[],
): OrderTally {
  const violations = histories.map((each) => checkOrder(each, result.getBookings(each.body)));
  const submissions = histories.flatMap((each) => each.submissions);
  const times = build();
  for (const time of histories.map(getFirstDispatchTime)) {
    if (time !== undefined) {
      times.recordValue(Math.round(time));
    }
  }

  function getShare(count: number): number {
    return toShare(count, histories.length);
  }

  function getKnownOutcomeShare(knownOutcome: KnownOutcome): number {
    return getShare(histories.filter((each) => each.knownOutcome === knownOutcome).length);
  }

  return {
    orders: histories.length,
    retriedShare: getShare(histories.filter((each) => each.submissions.length > 1).length),
    bookedTwice: violations.filter(({ isBookedTwice }) => isBookedTwice).length,
    falseNotRun: violations.filter(({ isFalselyRefused }) => isFalselyRefused).length,
    lost: violations.filter(({ isLost }) => isLost).length,
    differingAnswers: violations.filter(({ hasDifferingAnswers }) => hasDifferingAnswers).length,
    answeredShare: getKnownOutcomeShare('answered'),
    refusedShare: getKnownOutcomeShare('refused'),
    mayHaveRunShare: getKnownOutcomeShare('mayHaveRun'),
    submissionsRefusedShare: toShare(submissions.filter(isRefusal).length, submissions.length),
    firstDispatchMilliseconds: {
      p50: times.getValueAtPercentile(50),
      p99: times.getValueAtPercentile(99),
    },
  };
}
