import type {
  AnswerCounts,
  CountsOfTiers,
  RejectionReason,
  RolloutFacts,
  RolloutProgress,
} from './types';

/** Part of the duration after which a version that did well so far is tested under load. */
const LOAD_TEST_PART = 0.65;
/** Part after which the answers of the test under load are judged; the rest is for draining. */
const MOVE_PART = 0.8;
/** Part after which there is too little time to drain the old servers. */
const LAST_PART = 0.9;
/** Answers that a version needs in all, and as a share of those of the others if these are few. */
const MINIMUM_ANSWERS = 30;
const MINIMUM_ANSWERS_OF_TIER = 10;
const MINIMUM_ANSWERS_OF_TEST = 10;
/** Half of the share that the trial gives the version, since tiers and customers vary. */
const MINIMUM_SHARE = 0.03;
/** Share by which bad answers may exceed those of the other versions. */
const TOLERATED_DIFFERENCE = 0.1;
const NONE: AnswerCounts = { answers: 0, bad: 0 };

function sum(counts: CountsOfTiers, side: 'target' | 'others'): AnswerCounts {
  return [...counts.values()].reduce(
    (total, { [side]: { answers, bad } }) => ({
      answers: total.answers + answers,
      bad: total.bad + bad,
    }),
    NONE,
  );
}

function getBadShare({ answers, bad }: AnswerCounts): number {
  return answers === 0 ? 0 : bad / answers;
}

function hasEnoughAnswers(counts: CountsOfTiers): boolean {
  const target = sum(counts, 'target').answers;
  const wanted = Math.min(MINIMUM_ANSWERS, sum(counts, 'others').answers * MINIMUM_SHARE);
  return (
    target >= Math.max(wanted, MINIMUM_ANSWERS_OF_TIER) &&
    [...counts.values()].every(
      (tier) =>
        tier.target.answers >=
        Math.min(MINIMUM_ANSWERS_OF_TIER, Math.floor(tier.others.answers * MINIMUM_SHARE)),
    )
  );
}

/** Returns why the answers since the test under load began do not show that a version is good. */
function tryFindFault(counts: CountsOfTiers, before: CountsOfTiers): RejectionReason | undefined {
  const tested = [...counts].map(([tier, { target, others }]) => {
    const { answers, bad } = before.get(tier)?.target ?? NONE;
    return { target: { answers: target.answers - answers, bad: target.bad - bad }, others };
  });
  const total = tested.reduce((known, { target }) => known + target.answers, 0);
  if (total < MINIMUM_ANSWERS_OF_TEST || !hasEnoughAnswers(counts)) {
    return 'tooFewAnswers';
  }
  const isWorse = tested.some(
    ({ target, others }) =>
      target.bad > 1 && getBadShare(target) > getBadShare(others) + TOLERATED_DIFFERENCE,
  );
  return isWorse ? 'badUnderLoad' : undefined;
}

/**
 * Decides the next step of a roll-out. A version is tried with a small share of the requests, then
 * with all requests for a short while, within the exposure that a bad version may have. Faults that
 * begin late or under load show in the answers of this test. A version that is not shown to be good
 * in time is rejected: its old servers can still serve, whereas completion stops them.
 */
export default function decideRollout(
  progress: RolloutProgress,
  { isBad, counts, elapsed, duration, hasEnoughSlots }: RolloutFacts,
): RolloutProgress {
  if (isBad) {
    return { kind: 'rejected', reason: 'bad' };
  }
  switch (progress.kind) {
    case 'trial':
      if (elapsed >= duration * LAST_PART) {
        return { kind: 'rejected', reason: 'tooFewAnswers' };
      }
      return elapsed >= duration * LOAD_TEST_PART ? { kind: 'loadTest', before: counts } : progress;
    case 'loadTest': {
      const fault = hasEnoughSlots ? tryFindFault(counts, progress.before) : 'tooFewSlots';
      if (elapsed >= duration * LAST_PART && fault !== undefined) {
        return { kind: 'rejected', reason: fault };
      }
      const isDue = elapsed >= duration * MOVE_PART && fault === undefined;
      return isDue ? { kind: 'moving' } : progress;
    }
    case 'moving':
    case 'rejected':
      return progress;
    default:
      return progress satisfies never;
  }
}
