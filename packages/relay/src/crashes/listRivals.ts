import type { TraitId } from '../types';
import getTraitKind from './getTraitKind';
import type { ProcessKey } from './types';

interface RivalsOptions {
  readonly suspects: ReadonlyMap<TraitId, ReadonlySet<ProcessKey>>;
  readonly isQuarantined: (trait: TraitId) => boolean;
  readonly wasAnswered: (trait: TraitId) => boolean;
}

/**
 * Lists the contents that may have caused exactly the ends that a suspected one may have, so that
 * ends cannot tell them apart; includes the suspected trait. Parts of prompts have none: parts of
 * one prompt arrive together, so that arrivals could not tell them apart either.
 */
export default function listRivals(trait: TraitId, options: RivalsOptions): readonly TraitId[] {
  const { suspects, isQuarantined, wasAnswered } = options;
  const ends = suspects.get(trait);
  if (ends === undefined || getTraitKind(trait) !== 'content' || wasAnswered(trait)) {
    return [trait];
  }
  return [...suspects]
    .filter(
      ([other, otherEnds]) =>
        getTraitKind(other) === 'content' &&
        !isQuarantined(other) &&
        !wasAnswered(other) &&
        otherEnds.size === ends.size &&
        [...otherEnds].every((process) => ends.has(process)),
    )
    .map(([other]) => other);
}
