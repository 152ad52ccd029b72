import { fail } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import parseWithSchema from './settings/parseWithSchema';
import settingsSchemas from './settings/settingsSchemas';
import type { DeploymentSettings, SettingsError } from './types';

const SUPPORTED_FORMAT_VERSIONS: readonly number[] = [1];

/** Validates settings that come from the store or from a peer. */
export default function parseDeploymentSettings(
  value: unknown,
): Outcome<DeploymentSettings, SettingsError> {
  const formatVersion = formatVersionOf(value);
  if (typeof formatVersion === 'number' && !SUPPORTED_FORMAT_VERSIONS.includes(formatVersion)) {
    return fail({
      kind: 'unknownFormatVersion',
      formatVersion,
      supported: SUPPORTED_FORMAT_VERSIONS,
    });
  }
  return parseWithSchema(settingsSchemas.deploymentSettings, value);
}

function formatVersionOf(value: unknown): unknown {
  return typeof value === 'object' && value !== null && 'formatVersion' in value
    ? value.formatVersion
    : undefined;
}
