import type { PromptPartId } from '../types';

/** Parts beyond these are ignored, since each one is tracked. */
const MAXIMUM_PARTS = 256;

/**
 * Parses `ID:TOKENS,...` and returns the identifiers of all parts but the last, which no other
 * request shares. Empty if the header is absent.
 */
export default function parsePromptParts(text: string | undefined): readonly PromptPartId[] {
  const parts = (text ?? '').split(',').map((part) => part.split(':', 1)[0]!.trim().toLowerCase());
  return [...new Set(parts.slice(0, -1).filter((part) => part !== ''))].slice(0, MAXIMUM_PARTS);
}
