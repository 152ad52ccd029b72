import type { TraitId } from '../types';
import type { TraitKind } from './types';

/** Returns what a trait is; identifiers of prompt parts hold no colon. */
export default function getTraitKind(trait: TraitId): TraitKind {
  return trait.startsWith('content:') ? 'content' : 'promptPart';
}
