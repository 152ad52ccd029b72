import { createHash } from 'node:crypto';
import type { DeploymentSettings } from '../types';
import settingsWalk from './settingsWalk';

/** A digest of settings that does not depend on the order of fields. */
export default function digestOfSettings(settings: DeploymentSettings): string {
  const text = JSON.stringify(settings, (_, value: unknown) =>
    settingsWalk.isMapping(value)
      ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
      : value,
  );
  return createHash('sha256').update(text).digest('base64url');
}
