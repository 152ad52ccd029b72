import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { match } from 'ts-pattern';
import type {
  ChangeError,
  DeploymentSettings,
  DrainedSettings,
  DrainTarget,
  SettingsChange,
} from '../types';

const MAXIMUM_RECORDED_DRAINS = 256;

/** Returns the settings after a change; the same object when the change has no effect. */
export default function changeSettings(
  settings: DeploymentSettings,
  change: SettingsChange,
): Outcome<DeploymentSettings, ChangeError> {
  return match(change)
    .with({ kind: 'replaceSettings' }, (replace) =>
      ok({
        ...replace.settings,
        drained: retainExistingDrains(settings.drained, replace.settings),
      }),
    )
    .with({ kind: 'drain' }, ({ target, localDrain }) =>
      setDrained(settings, target, true, localDrain === undefined ? [] : [localDrain]),
    )
    .with({ kind: 'restore' }, ({ target, localDrains }) =>
      setDrained(settings, target, false, localDrains ?? []),
    )
    .exhaustive();
}

function idsOf(settings: DeploymentSettings, kind: DrainTarget['kind']): readonly string[] {
  switch (kind) {
    case 'failureDomain':
      return settings.failureDomains.map(({ id }) => id);
    case 'entryHost':
      return settings.entryHosts.map(({ id }) => id);
    case 'backendServer':
      return settings.backendServers.map(({ id }) => id);
    default:
      return kind satisfies never;
  }
}

const DRAINED_FIELDS = {
  failureDomain: 'failureDomains',
  entryHost: 'entryHosts',
  backendServer: 'backendServers',
} as const;

/** Returns the drained targets that still exist after the settings are replaced. */
function retainExistingDrains(drained: DrainedSettings, next: DeploymentSettings): DrainedSettings {
  const retainExisting = (kind: DrainTarget['kind']) =>
    drained[DRAINED_FIELDS[kind]].filter((id) => idsOf(next, kind).includes(id));
  return {
    ...drained,
    failureDomains: retainExisting('failureDomain'),
    entryHosts: retainExisting('entryHost'),
    backendServers: retainExisting('backendServer'),
  };
}

function setDrained(
  settings: DeploymentSettings,
  target: DrainTarget,
  drained: boolean,
  localDrains: readonly string[],
): Outcome<DeploymentSettings, ChangeError> {
  if (!idsOf(settings, target.kind).includes(target.id)) {
    return fail({ kind: 'unknownDrainTarget', target });
  }
  const field = DRAINED_FIELDS[target.kind];
  const recorded = settings.drained.recordedLocalDrains ?? [];
  const newLocalDrains = localDrains.filter((id) => !recorded.includes(id));
  const isDrained = settings.drained[field].includes(target.id);
  // A local drain that is already recorded must not take effect again after a restore.
  const isAlreadyRecorded = localDrains.length > 0 && newLocalDrains.length === 0;
  if (isAlreadyRecorded || (newLocalDrains.length === 0 && isDrained === drained)) {
    return ok(settings);
  }
  const others = settings.drained[field].filter((id) => id !== target.id);
  const next: DrainedSettings = {
    ...settings.drained,
    [field]: drained ? [...others, target.id] : others,
    recordedLocalDrains: [...recorded, ...newLocalDrains].slice(-MAXIMUM_RECORDED_DRAINS),
  };
  return ok({ ...settings, drained: next });
}
