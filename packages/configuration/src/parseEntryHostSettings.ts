import { fail } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import isLoopbackAddress from './isLoopbackAddress';
import parseWithSchema from './settings/parseWithSchema';
import settingsSchemas from './settings/settingsSchemas';
import type { EntryHostSettings, SettingsError } from './types';

/** Validates the settings of one entry host's process, as read from its file. */
export default function parseEntryHostSettings(
  value: unknown,
): Outcome<EntryHostSettings, SettingsError> {
  const parsed = parseWithSchema(settingsSchemas.entryHostSettings, value);
  if (parsed.kind === 'error') {
    return parsed;
  }
  const { peerSecurity, peerAddress } = parsed.value;
  if (peerSecurity.kind === 'plainLoopback' && !isLoopbackAddress(peerAddress)) {
    const detail = 'plain text between entry hosts is accepted on loopback addresses only';
    return fail({ kind: 'invalidSettings', problems: [{ field: 'peerAddress', detail }] });
  }
  return parsed;
}
