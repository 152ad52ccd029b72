import type { FieldPath } from './types';

/** Formats a path as `places[0].entryHosts[1].callers`. */
export default function formatFieldPath(path: FieldPath): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === 'number') {
      return `${text}[${key}]`;
    }
    return text === '' ? key : `${text}.${key}`;
  }, '');
}
