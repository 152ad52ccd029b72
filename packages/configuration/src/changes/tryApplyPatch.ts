import type { AcceptedConfiguration, ConfigurationPatch, DeploymentSettings } from '../types';
import applyDifferences from './applyDifferences';
import computeSettingsDigest from './computeSettingsDigest';

/** The configuration that a patch leads to; undefined when it does not fit what is in force. */
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
