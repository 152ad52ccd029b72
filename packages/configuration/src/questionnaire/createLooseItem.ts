import type { FieldPath, LocatedText, LooseItem } from './types';

/** Reads a value of unknown shape as a mapping; what does not fit is passed over. */
export default function createLooseItem(value: unknown, path: FieldPath): LooseItem {
  const fields =
    typeof value === 'object' && value !== null ? (value as Readonly<Record<string, unknown>>) : {};

  function listAt(field: string): readonly unknown[] {
    const list = fields[field];
    return Array.isArray(list) ? (list as readonly unknown[]) : [];
  }

  function located(text: unknown, at: FieldPath): LocatedText | undefined {
    return typeof text === 'string' ? { text, path: at } : undefined;
  }

  return {
    path,
    tryGetText: (field) => located(fields[field], [...path, field]),
    tryGetNumber(field) {
      const number = fields[field];
      return typeof number === 'number' ? number : undefined;
    },
    items: (field) =>
      listAt(field).map((item, index) => createLooseItem(item, [...path, field, index])),
    texts: (field) =>
      listAt(field)
        .map((item, index) => located(item, [...path, field, index]))
        .filter((text) => text !== undefined),
    tryGetItem: (field) =>
      fields[field] === undefined ? undefined : createLooseItem(fields[field], [...path, field]),
  };
}
