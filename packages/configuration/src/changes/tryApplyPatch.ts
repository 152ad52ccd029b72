import type { AcceptedConfiguration, ConfigurationPatch, DeploymentSettings } from '../types';
import applyDifferences from './applyDifferences';
import computeSettingsDigest from './computeSettingsDigest';

/**
 * Returns the configuration that results from a patch, or undefined when the patch does not apply
 * to `before`.
 */
export default function tryApplyPatch(
  before: AcceptedConfiguration,
  patch: ConfigurationPatch,
): AcceptedConfiguration | undefined {
  if (before.generation !== patch.from) {
    return undefined;
  }
  const settings = applyDifferences(before.settings, patch.differences) as DeploymentSettings;
  return computeSettingsDigest(settings) === patch.digest
    ? { ...patch.header, settings }
    : undefined;
}
