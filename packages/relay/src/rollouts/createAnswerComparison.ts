import type { TierRank } from '@rattanreel/core';
import createMovingAverage from '../decisions/createMovingAverage';
import type { MovingAverage } from '../decisions/types';
import type { AnswerComparison, VersionCounts } from './types';
import type { AttemptFigures } from '../types';

const AVERAGE_WEIGHT = 0.05;
/** An answer is slow if one of its times is this multiple of what the other versions need. */
const SLOW_FIRST_DATA_RATIO = 3;
const SLOW_INTERVAL_RATIO = 2;
/** Minimum number of chunks after the first from which the time between chunks is measured. */
const MINIMUM_LATER_CHUNKS = 2;
/** Answers of the other versions from which their times are known. */
const MINIMUM_REFERENCE = 5;
const HTTP_SERVER_ERROR = 500;

interface ReferenceTimes {
  readonly firstData: MovingAverage;
  readonly interval: MovingAverage;
  answers: number;
}

interface AnswerTimes {
  readonly firstData: number;
  readonly interval: number | undefined;
}

/** Returns whether an attempt says anything about the version of its server. */
function isAnswer({ end, firstDataAfter }: AttemptFigures): boolean {
  switch (end.kind) {
    case 'whole':
    case 'broken':
      return true;
    case 'aborted':
      // The wait of a caller that left before any data counts if it was long.
      return end.reason !== 'quarantined' && end.reason !== 'stop' && firstDataAfter === undefined;
    case 'notRun':
    case 'notConnected':
    case 'notSent':
      return false;
    default:
      return end satisfies never;
  }
}

function getTimes(figures: AttemptFigures): AnswerTimes {
  const { duration, firstDataAfter = duration, laterChunks, laterTime } = figures;
  return {
    firstData: firstDataAfter,
    interval: laterChunks >= MINIMUM_LATER_CHUNKS ? laterTime / laterChunks : undefined,
  };
}

/** Compares the answers of the version that is rolled out with those of the others, by tier. */
export default function createAnswerComparison(): AnswerComparison {
  const references = new Map<TierRank, ReferenceTimes>();
  const countsByTier = new Map<TierRank, VersionCounts>();

  function getReference(tier: TierRank): ReferenceTimes {
    let reference = references.get(tier);
    if (reference === undefined) {
      const weight = AVERAGE_WEIGHT;
      reference = {
        firstData: createMovingAverage({ initial: 0, weight }),
        interval: createMovingAverage({ initial: 0, weight }),
        answers: 0,
      };
      references.set(tier, reference);
    }
    return reference;
  }

  function isSlow({ firstData, interval = 0 }: AnswerTimes, reference: ReferenceTimes): boolean {
    const isKnown = reference.answers >= MINIMUM_REFERENCE;
    const usualInterval = reference.interval.get();
    return (
      isKnown &&
      (firstData > reference.firstData.get() * SLOW_FIRST_DATA_RATIO ||
        (usualInterval > 0 && interval > usualInterval * SLOW_INTERVAL_RATIO))
    );
  }

  function learn({ firstData, interval }: AnswerTimes, reference: ReferenceTimes): void {
    reference.answers += 1;
    // The first answers replace the initial averages, which mean nothing.
    const repeats = reference.answers === 1 ? 1 / AVERAGE_WEIGHT : 1;
    for (let count = 0; count < repeats; count += 1) {
      reference.firstData.add(firstData);
      if (interval !== undefined) {
        reference.interval.add(interval);
      }
    }
  }

  return {
    record(isTarget, tier, figures) {
      if (!isAnswer(figures)) {
        return;
      }
      const reference = getReference(tier);
      const times = getTimes(figures);
      const { end } = figures;
      const isSuccess = end.kind === 'whole' && end.status < HTTP_SERVER_ERROR;
      const isCallerGone = end.kind === 'aborted' && end.reason === 'callerGone';
      const isBad = isSlow(times, reference) || (!isSuccess && !isCallerGone);
      if (isCallerGone && !isBad) {
        return;
      }
      if (!isTarget && isSuccess) {
        learn(times, reference);
      }
      const zero = { answers: 0, bad: 0 };
      const counts = countsByTier.get(tier) ?? { target: zero, others: zero };
      const side = isTarget ? 'target' : 'others';
      const { answers, bad } = counts[side];
      const next = { answers: answers + 1, bad: bad + (isBad ? 1 : 0) };
      countsByTier.set(tier, { ...counts, [side]: next });
    },
    getCounts: () => Object.fromEntries(countsByTier),
  };
}
