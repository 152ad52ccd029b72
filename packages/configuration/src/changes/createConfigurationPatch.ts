import diffSettings from '../diffSettings';
import type { AcceptedConfiguration, ConfigurationPatch } from '../types';
import computeSettingsDigest from './computeSettingsDigest';

/** Creates the patch from one accepted configuration to a later one. */
export default function createConfigurationPatch(
  before: AcceptedConfiguration,
  after: AcceptedConfiguration,
): ConfigurationPatch {
  const { settings, ...header } = after;
  return {
    from: before.generation,
    to: after.generation,
    header,
    // The receiver has the earlier values.
    differences: diffSettings(before.settings, settings).map((difference) => ({
      ...difference,
      before: undefined,
    })),
    digest: computeSettingsDigest(settings),
  };
}
