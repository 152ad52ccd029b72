import { isDeepStrictEqual } from 'node:util';
import settingsTree from './changes/settingsTree';
import type { DeploymentSettings, SettingsDifference, SettingsStep } from './types';

const { formatSteps, isIdentifiedList, isMapping, tryGetId } = settingsTree;

/** Returns the differences between two settings, with paths that an operator can read. */
export default function diffSettings(
  before: DeploymentSettings,
  after: DeploymentSettings,
): readonly SettingsDifference[] {
  return compareValues(before, after, []);
}

function compareValues(
  before: unknown,
  after: unknown,
  steps: readonly SettingsStep[],
): readonly SettingsDifference[] {
  if (isDeepStrictEqual(before, after)) {
    return [];
  }
  if (isMapping(before) && isMapping(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...names].flatMap((name) =>
      compareChild(before[name], after[name], [...steps, { kind: 'field', name }]),
    );
  }
  if (isIdentifiedList(before) && isIdentifiedList(after)) {
    return compareLists(before, after, steps);
  }
  return [{ kind: 'changed', path: formatSteps(steps), steps, before, after }];
}

function compareChild(
  before: unknown,
  after: unknown,
  steps: readonly SettingsStep[],
): readonly SettingsDifference[] {
  const path = formatSteps(steps);
  if (before === undefined && after !== undefined) {
    return [{ kind: 'added', path, steps, before, after }];
  }
  if (after === undefined && before !== undefined) {
    return [{ kind: 'removed', path, steps, before, after }];
  }
  return compareValues(before, after, steps);
}

function compareLists(
  before: readonly unknown[],
  after: readonly unknown[],
  steps: readonly SettingsStep[],
): readonly SettingsDifference[] {
  const earlier = new Map(before.map((entry) => [tryGetId(entry)!, entry]));
  const later = new Map(after.map((entry) => [tryGetId(entry)!, entry]));
  const ids = new Set([...earlier.keys(), ...later.keys()]);
  const differences = [...ids].flatMap((id) =>
    compareChild(earlier.get(id), later.get(id), [...steps, { kind: 'entry', id }]),
  );
  // Added entries go to the end, so only a different order has to be reported.
  const expected = [...ids].filter((id) => later.has(id));
  const order = [...later.keys()];
  return isDeepStrictEqual(expected, order)
    ? differences
    : [
        ...differences,
        {
          kind: 'reordered',
          path: formatSteps(steps),
          steps,
          before: [...earlier.keys()],
          after: order,
        },
      ];
}
