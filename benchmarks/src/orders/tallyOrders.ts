import { build } from 'hdr-histogram-js';
import isRefusal from './isRefusal';
import judgeOrder from './judgeOrder';
import type { CallerKnowledge, OrderHistory, OrderTally, SimulationResult } from './types';

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

/** Counts what became of a set of orders. */
export default function tallyOrders(
  result: SimulationResult,
  histories: readonly OrderHistory[],
): OrderTally {
  const verdicts = histories.map((each) => judgeOrder(each, result.getBookings(each.body)));
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

  function getKnowledgeShare(knowledge: CallerKnowledge): number {
    return getShare(histories.filter((each) => each.knowledge === knowledge).length);
  }

  return {
    orders: histories.length,
    retriedShare: getShare(histories.filter((each) => each.submissions.length > 1).length),
    bookedTwice: verdicts.filter(({ isBookedTwice }) => isBookedTwice).length,
    falseNotRun: verdicts.filter(({ isFalselyRefused }) => isFalselyRefused).length,
    lost: verdicts.filter(({ isLost }) => isLost).length,
    differingAnswers: verdicts.filter(({ hasDifferingAnswers }) => hasDifferingAnswers).length,
    answeredShare: getKnowledgeShare('answered'),
    refusedShare: getKnowledgeShare('refused'),
    mayHaveRunShare: getKnowledgeShare('mayHaveRun'),
    submissionsRefusedShare: toShare(submissions.filter(isRefusal).length, submissions.length),
    firstDispatchMilliseconds: {
      p50: times.getValueAtPercentile(50),
      p99: times.getValueAtPercentile(99),
    },
  };
}
