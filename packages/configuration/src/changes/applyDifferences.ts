import type { SettingsDifference, SettingsStep } from '../types';
import settingsTree from './settingsTree';

const { isMapping, tryGetId } = settingsTree;

/**
 * Applies differences to a value. A difference that does not fit is ignored; the digest of the
 * result reveals it.
 */
export default function applyDifferences(
  value: unknown,
  differences: readonly SettingsDifference[],
): unknown {
  return differences.reduce(
    (result, difference) => applyAt(result, difference.steps, difference),
    value,
  );
}

function applyAt(
  value: unknown,
  steps: readonly SettingsStep[],
  difference: SettingsDifference,
): unknown {
  const [step, ...rest] = steps;
  if (step === undefined) {
    return difference.kind === 'reordered' ? reorder(value, difference.after) : difference.after;
  }
  if (step.kind === 'field' && isMapping(value)) {
    const { [step.name]: child, ...others } = value;
    const next = applyAt(child, rest, difference);
    return next === undefined ? others : { ...value, [step.name]: next };
  }
  if (step.kind === 'entry' && Array.isArray(value)) {
    return applyToEntry(value, step.id, rest, difference);
  }
  return value;
}

function applyToEntry(
  list: readonly unknown[],
  id: string,
  rest: readonly SettingsStep[],
  difference: SettingsDifference,
): readonly unknown[] {
  const index = list.findIndex((entry) => tryGetId(entry) === id);
  const next = applyAt(list[index], rest, difference);
  if (index < 0) {
    return next === undefined ? list : [...list, next];
  }
  return next === undefined ? list.toSpliced(index, 1) : list.with(index, next);
}

function reorder(list: unknown, order: unknown): unknown {
  if (!Array.isArray(list) || !Array.isArray(order)) {
    return list;
  }
  const position = new Map(order.map((id, index) => [id as string, index]));
  const positionOf = (entry: unknown) => position.get(tryGetId(entry) ?? '') ?? list.length;
  return list.toSorted((left, right) => positionOf(left) - positionOf(right));
}
