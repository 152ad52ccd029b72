import { isDeepStrictEqual } from 'node:util';

/** Returns the names of the fields whose values differ, also of those that only one of both has. */
export default function listChangedFields<Value extends object>(
  before: Value,
  after: Value,
): (keyof Value)[] {
  const fields = new Set(Object.keys({ ...before, ...after }) as (keyof Value)[]);
  return [...fields].filter((field) => !isDeepStrictEqual(before[field], after[field]));
}
