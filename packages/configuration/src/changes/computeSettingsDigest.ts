import { createHash } from 'node:crypto';
import type { DeploymentSettings } from '../types';
import settingsTree from './settingsTree';

/** Computes a digest of settings that does not depend on the order of fields. */
export default function computeSettingsDigest(settings: DeploymentSettings): string {
  const text = JSON.stringify(settings, (_, value: unknown) =>
    settingsTree.isMapping(value)
      ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
      : value,
  );
  return createHash('sha256').update(text).digest('base64url');
}
