import type { AnswerCounts, CountsByTier, VersionCounts } from './types';

const NONE: AnswerCounts = { answers: 0, bad: 0 };

function add(left: AnswerCounts, right: AnswerCounts): AnswerCounts {
  return { answers: left.answers + right.answers, bad: left.bad + right.bad };
}

/** Sums the counts of several hosts by tier. */
export default function sumAnswerCounts(
  countsOfHosts: readonly CountsByTier[],
): ReadonlyMap<string, VersionCounts> {
  const byTier = new Map<string, VersionCounts>();
  countsOfHosts.forEach((counts) =>
    Object.entries(counts).forEach(([tier, { target, others }]) => {
      const known = byTier.get(tier) ?? { target: NONE, others: NONE };
      byTier.set(tier, { target: add(known.target, target), others: add(known.others, others) });
    }),
  );
  return byTier;
}
