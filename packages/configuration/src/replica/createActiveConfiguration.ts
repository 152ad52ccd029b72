import { Debug } from '@rattanreel/core';
import type {
  AcceptedConfiguration,
  ConfigurationEffect,
  ConfigurationHistory,
  DeploymentSettings,
  ActiveConfiguration,
  LocalDrains,
} from '../types';

interface ActiveConfigurationOptions {
  readonly history: ConfigurationHistory;
  readonly localDrains: LocalDrains;
  readonly emit: (effect: ConfigurationEffect) => void;
}

/** Holds the active configuration, which only a later one replaces. */
export default function createActiveConfiguration(
  options: ActiveConfigurationOptions,
): ActiveConfiguration {
  const { history, localDrains, emit } = options;
  let current: AcceptedConfiguration | undefined;
  let settings: DeploymentSettings | undefined;

  function publish(): void {
    if (current !== undefined) {
      settings = localDrains.applyTo(current.settings);
      emit({ kind: 'settingsInForce', generation: current.generation, settings });
    }
  }

  return {
    tryGet: () => current,
    tryGetSettings: () => settings,
    generation: () => current?.generation ?? 0,
    adopt(configuration) {
      const previous = current?.generation ?? 0;
      const isLater = Debug.invariant(
        configuration.generation > previous,
        'configuration-reverted',
        () => `generation ${configuration.generation} after ${previous}`,
      );
      if (isLater) {
        current = configuration;
        history.push(configuration);
        localDrains.removeRecorded(configuration.settings);
        publish();
      }
    },
    addLocalDrains(drains) {
      const added = localDrains.add(drains, current?.settings);
      if (added) {
        publish();
      }
      return added;
    },
  };
}
