import type { FieldPath, LocatedText, UncheckedMapping } from './types';

/** Reads a value of unknown shape as a mapping; ignores what does not fit. */
export default function createUncheckedMapping(value: unknown, path: FieldPath): UncheckedMapping {
  const fields =
    typeof value === 'object' && value !== null ? (value as Readonly<Record<string, unknown>>) : {};

  function getList(field: string): readonly unknown[] {
    const list = fields[field];
    return Array.isArray(list) ? (list as readonly unknown[]) : [];
  }

  function tryLocate(text: unknown, at: FieldPath): LocatedText | undefined {
    return typeof text === 'string' ? { text, path: at } : undefined;
  }

  return {
    path,
    tryGetText: (field) => tryLocate(fields[field], [...path, field]),
    tryGetNumber(field) {
      const number = fields[field];
      return typeof number === 'number' ? number : undefined;
    },
    getMappings: (field) =>
      getList(field).map((item, index) => createUncheckedMapping(item, [...path, field, index])),
    getTexts: (field) =>
      getList(field)
        .map((item, index) => tryLocate(item, [...path, field, index]))
        .filter((text) => text !== undefined),
    tryGetMapping: (field) =>
      fields[field] === undefined
        ? undefined
        : createUncheckedMapping(fields[field], [...path, field]),
  };
}
