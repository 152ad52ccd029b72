import { Debug } from '@rattanreel/core';
import type {
  AcceptedConfiguration,
  ConfigurationEffect,
  ConfigurationHistory,
  DeploymentSettings,
  InForce,
  LocalDrains,
} from '../types';

interface InForceOptions {
  readonly history: ConfigurationHistory;
  readonly localDrains: LocalDrains;
  readonly emit: (effect: ConfigurationEffect) => void;
}

/** Holds the configuration in force, which only a later one replaces. */
export default function createInForce(options: InForceOptions): InForce {
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
    trySettings: () => settings,
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
        localDrains.settle(configuration.settings);
        publish();
      }
    },
    addDrains(drains) {
      const added = localDrains.add(drains, current?.settings);
      if (added) {
        publish();
      }
      return added;
    },
  };
}
