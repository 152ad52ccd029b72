import type { Generation } from '@rattanreel/core';
import createConfigurationPatch from '../changes/createConfigurationPatch';
import type { AcceptedConfiguration, ConfigurationHistory, ConfigurationPatch } from '../types';

/** The latest configurations, from which peers are sent differences. */
export default function createConfigurationHistory(length: number): ConfigurationHistory {
  let kept: readonly AcceptedConfiguration[] = [];
  /** Patches to the latest configuration by where they begin. */
  let patches = new Map<Generation, ConfigurationPatch>();

  return {
    push(configuration) {
      kept = [...kept, configuration].slice(-length);
      patches = new Map();
    },
    tryGetPatch(from) {
      const before = kept.find(({ generation }) => generation === from);
      const latest = kept.at(-1);
      if (before === undefined || latest === undefined || before === latest) {
        return undefined;
      }
      const patch = patches.get(from) ?? createConfigurationPatch(before, latest);
      patches.set(from, patch);
      return patch;
    },
  };
}
