import type { Generation } from '@rattanreel/core';
import createConfigurationPatch from '../changes/createConfigurationPatch';
import type { AcceptedConfiguration, ConfigurationHistory, ConfigurationPatch } from '../types';

/** Keeps the latest configurations, from which patches for peers are created. */
export default function createConfigurationHistory(length: number): ConfigurationHistory {
  let recent: readonly AcceptedConfiguration[] = [];
  /** Patches to the latest configuration, by the generation from which they start. */
  let patches = new Map<Generation, ConfigurationPatch>();

  return {
    push(configuration) {
      recent = [...recent, configuration].slice(-length);
      patches = new Map();
    },
    tryGetPatch(from) {
      const before = recent.find(({ generation }) => generation === from);
      const latest = recent.at(-1);
      if (before === undefined || latest === undefined || before === latest) {
        return undefined;
      }
      const patch = patches.get(from) ?? createConfigurationPatch(before, latest);
      patches.set(from, patch);
      return patch;
    },
  };
}
