import type { DeploymentSettings, DrainTarget, LocalDrain, LocalDrains } from '../types';

/** Drains told locally that the configuration in force does not hold yet. */
export default function createLocalDrains(): LocalDrains {
  const drains = new Map<string, LocalDrain>();

  return {
    add(added, settings) {
      const recorded = settings?.drained.recordedLocalDrains ?? [];
      const news = added.filter(({ id }) => !drains.has(id) && !recorded.includes(id));
      news.forEach((drain) => drains.set(drain.id, drain));
      return news.length > 0;
    },
    settle(settings) {
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
  const united = (ids: readonly string[]) => [...new Set([...ids, id])];
  switch (kind) {
    case 'failureDomain':
      return { failureDomains: united(drained.failureDomains) };
    case 'entryHost':
      return { entryHosts: united(drained.entryHosts) };
    case 'backendServer':
      return { backendServers: united(drained.backendServers) };
    default:
      return kind satisfies never;
  }
}
