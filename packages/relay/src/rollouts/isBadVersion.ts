import sumAnswerCounts from './sumAnswerCounts';
import type { CountsByTier, VersionCounts } from './types';

/** Bad answers below which a version is never bad. */
const MINIMUM_BAD = 4;
/** Share by which bad answers must exceed those of the other versions. */
const MINIMUM_DIFFERENCE = 0.1;
/** Standard deviations by which they must exceed it; one test in 10,000 errs. */
const MINIMUM_DEVIATIONS = 3.7;
/** Answers that every version is taken to have had, one of them bad. */
const PRIOR_ANSWERS = 20;

/** Compares the shares of bad answers by a binomial test. */
function isSignificant({ target, others }: VersionCounts): boolean {
  if (target.bad < MINIMUM_BAD) {
    return false;
  }
  const usualShare = (others.bad + 1) / (others.answers + PRIOR_ANSWERS);
  const difference = target.bad / target.answers - usualShare;
  const deviation = Math.sqrt((usualShare * (1 - usualShare)) / target.answers);
  return difference >= MINIMUM_DIFFERENCE && difference >= MINIMUM_DEVIATIONS * deviation;
}

/**
 * Returns whether a version answers worse than the others, for all requests or for those of one
 * tier, by the counts of all hosts.
 */
export default function isBadVersion(countsOfHosts: readonly CountsByTier[]): boolean {
  const tiers = [...sumAnswerCounts(countsOfHosts).values()];
  const total = sumAnswerCounts(tiers.map((counts) => ({ all: counts }))).get('all');
  return (total !== undefined && isSignificant(total)) || tiers.some(isSignificant);
}
