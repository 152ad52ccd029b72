import type { EntryHostId } from '@rattanreel/core';
import type { RelayBounds } from '../types';
import createAnswerComparison from './createAnswerComparison';
import isBadVersion from './isBadVersion';
import type { CountsByTier, RolloutTrial } from './types';

/** Part of the allowed share that is used, since hosts do not know each other's rounding. */
const USED_PART = 0.6;
/** Part of the allowed extra requests with which all hosts together begin. */
const INITIAL_PART = 0.3;

/** Part of the exposure up to now that a test under load may use up. */
const LOAD_TEST_PART = 0.9;

interface RolloutTrialOptions {
  readonly ownName: EntryHostId;
  readonly bounds: Pick<RelayBounds, 'exposeShare' | 'exposeSlack'>;
  /** Share of this host in all hosts. */
  readonly ownShare: number;
}

function countAnswers(counts: CountsByTier): number {
  return Object.values(counts).reduce(
    (sum, { target, others }) => sum + target.answers + others.answers,
    0,
  );
}

/**
 * Tries a new version of a pool's servers: gives it a small share of the requests, and compares its
 * answers with those of the other versions, at this host and at those that report theirs.
 */
export default function createRolloutTrial(options: RolloutTrialOptions): RolloutTrial {
  const comparison = createAnswerComparison();
  const countsByHost = new Map<EntryHostId, CountsByTier>();
  let credit = options.bounds.exposeSlack * INITIAL_PART * options.ownShare;
  let grants = 0;
  let isBad = false;

  function judge(): void {
    isBad ||= isBadVersion([...countsByHost.values()]);
  }

  return {
    isBad: () => isBad,
    mayTry: () => !isBad && credit >= 1,
    allowLoadTest() {
      const { exposeShare, exposeSlack } = options.bounds;
      credit +=
        exposeShare * (LOAD_TEST_PART - USED_PART) * grants +
        exposeSlack * (LOAD_TEST_PART - INITIAL_PART) * options.ownShare;
    },
    recordGrant(isTarget) {
      grants += 1;
      credit += options.bounds.exposeShare * USED_PART - (isTarget ? 1 : 0);
    },
    recordAttempt(isTarget, tier, figures) {
      comparison.record(isTarget, tier, figures);
      countsByHost.set(options.ownName, comparison.getCounts());
      judge();
    },
    markBad() {
      isBad = true;
    },
    merge(findings) {
      isBad ||= findings.isBad;
      Object.entries(findings.countsByHost)
        .filter(([host, counts]) => {
          const known = countsByHost.get(host) ?? {};
          return host !== options.ownName && countAnswers(counts) > countAnswers(known);
        })
        .forEach(([host, counts]) => countsByHost.set(host, counts));
      judge();
    },
    getFindings: () => ({ isBad, countsByHost: Object.fromEntries(countsByHost) }),
  };
}
