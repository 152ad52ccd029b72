import type { TraitId } from '../types';
import getTraitKind from './getTraitKind';
import type { ProcessKey, TraitKind } from './types';

/**
 * Ends of servers from which on a trait is suspected, if no other trait explains them. The content
 * of a request is shared by fewer sound ones than a part of a prompt.
 */
const MINIMUM_ENDS: Readonly<Record<TraitKind, number>> = { promptPart: 4, content: 3 };
/**
 * Ends that are enough although the trait was answered before. A trait that never was is suspected
 * with so many ends as soon as one of them is unexplained: two traits that end servers at the same
 * time explain each other's ends in part. A single call, sent twice at two servers each, has fewer.
 */
const CERTAIN_ENDS = 5;
/** Further ends with which such a trait is as likely to cause them as one that never was. */
const ANSWERED_PENALTY = 3;

interface CrashingTraitsOptions {
  /** Processes that ended and whose end each trait may have caused. */
  readonly suspects: ReadonlyMap<TraitId, ReadonlySet<ProcessKey>>;
  readonly isQuarantined: (trait: TraitId) => boolean;
  /** Whether a trait was quarantined before, so that one more end is enough. */
  readonly isKnown: (trait: TraitId) => boolean;
  /** Whether a request with the trait was ever answered completely. */
  readonly wasAnswered: (trait: TraitId) => boolean;
}

/**
 * Finds the traits that best explain which servers ended, the most likely first. The traits beside a
 * crashing one share its ends; they are cleared once another trait explains these.
 */
export default function findCrashingTraits(options: CrashingTraitsOptions): readonly TraitId[] {
  const { suspects, isQuarantined, isKnown, wasAnswered } = options;
  const explained = new Set<ProcessKey>();
  const found: TraitId[] = [];

  function explainBy(trait: TraitId): void {
    suspects.get(trait)!.forEach((process) => explained.add(process));
  }

  function getNeeded(trait: TraitId, ends: number): number {
    if (isKnown(trait)) {
      return 1;
    }
    if (wasAnswered(trait)) {
      return CERTAIN_ENDS;
    }
    return ends >= CERTAIN_ENDS ? 1 : MINIMUM_ENDS[getTraitKind(trait)];
  }

  /** Returns how likely a trait causes its ends; what was answered may share those of several. */
  function getLikelihood(trait: TraitId): number {
    return suspects.get(trait)!.size - (wasAnswered(trait) ? ANSWERED_PENALTY : 0);
  }

  function compareLikelihood(left: TraitId, right: TraitId): number {
    const byLikelihood = getLikelihood(right) - getLikelihood(left);
    const byAnswers = Number(wasAnswered(left)) - Number(wasAnswered(right));
    const byMinimum = MINIMUM_ENDS[getTraitKind(right)] - MINIMUM_ENDS[getTraitKind(left)];
    return byLikelihood || byAnswers || byMinimum;
  }

  function isSuspected(trait: TraitId): boolean {
    const ends = suspects.get(trait)!;
    const unexplained = [...ends].filter((process) => !explained.has(process)).length;
    return unexplained >= getNeeded(trait, ends.size);
  }

  [...suspects.keys()].filter(isQuarantined).forEach(explainBy);
  [...suspects.keys()]
    .filter((trait) => !isQuarantined(trait))
    .sort(compareLikelihood)
    .forEach((trait) => {
      if (isSuspected(trait)) {
        found.push(trait);
        explainBy(trait);
      }
    });
  return found;
}
