import type { DeploymentSettings, DrainTarget, LocalDrain, LocalDrains } from '../types';

/** Holds the local drains that the active configuration has not recorded yet. */
export default function createLocalDrains(): LocalDrains {
  const drains = new Map<string, LocalDrain>();

  return {
    add(added, settings) {
      const recorded = settings?.drained.recordedLocalDrains ?? [];
      const newDrains = added.filter(({ id }) => !drains.has(id) && !recorded.includes(id));
      newDrains.forEach((drain) => drains.set(drain.id, drain));
      return newDrains.length > 0;
    },
    removeRecorded(settings) {
      (settings.drained.recordedLocalDrains ?? []).forEach((id) => drains.delete(id));
    },
    list: () => [...drains.values()],
    applyTo: (settings) => [...drains.values()].reduce(addTarget, settings),
  };
}

function addTarget(settings: DeploymentSettings, { target }: LocalDrain): DeploymentSettings {
  const { drained } = settings;
  return { ...settings, drained: { ...drained, ...withTarget(settings, target) } };
}

function withTarget(
  { drained }: DeploymentSettings,
  { kind, id }: DrainTarget,
): Partial<DeploymentSettings['drained']> {
  const withId = (ids: readonly string[]) => [...new Set([...ids, id])];
  switch (kind) {
    case 'failureDomain':
      return { failureDomains: withId(drained.failureDomains) };
    case 'entryHost':
      return { entryHosts: withId(drained.entryHosts) };
    case 'backendServer':
      return { backendServers: withId(drained.backendServers) };
    default:
      return kind satisfies never;
  }
}
