import type { SettingsStep } from '../types';

/** Mapping of field names to values, such as an entry of a list. */
type Mapping = Readonly<Record<string, unknown>>;

/** Returns whether a value is a plain mapping. */
function isMapping(value: unknown): value is Mapping {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the id or name of a list's entry, or undefined when it has none. */
function tryGetId(entry: unknown): string | undefined {
  const id = isMapping(entry) ? (entry.id ?? entry.name) : undefined;
  return typeof id === 'string' ? id : undefined;
}

/**
 * Returns whether a list's entries have unique ids or names, so that it can be compared entry by
 * entry.
 */
function isIdentifiedList(value: unknown): value is readonly Mapping[] {
  if (!Array.isArray(value) || value.length === 0) {
    return false;
  }
  const ids = value.map(tryGetId);
  return ids.every((id) => id !== undefined) && new Set(ids).size === ids.length;
}

/** Formats steps as `customers[makers].weight`. */
function formatSteps(steps: readonly SettingsStep[]): string {
  return steps.reduce((text, step) => {
    if (step.kind === 'entry') {
      return `${text}[${step.id}]`;
    }
    return text === '' ? step.name : `${text}.${step.name}`;
  }, '');
}

/** Functions to traverse settings: mappings by field, lists of identified entries by id. */
const settingsTree = { isMapping, tryGetId, isIdentifiedList, formatSteps };

export default settingsTree;
