import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { z } from 'zod';
import parseDeploymentSettings from './parseDeploymentSettings';
import parseWithSchema from './settings/parseWithSchema';
import type { AcceptedConfiguration, SettingsError } from './types';

const text = z.string().min(1);
const generation = z.int().positive();

const header = z.looseObject({
  kind: z.literal('acceptedConfiguration'),
  generation,
  changeId: text,
  author: text,
  acceptedAt: text,
  settings: z.unknown(),
  recentChanges: z.array(z.looseObject({ generation, changeId: text })).optional(),
});

/** Validates an accepted configuration that comes from the store or from a peer. */
export default function parseAcceptedConfiguration(
  value: unknown,
): Outcome<AcceptedConfiguration, SettingsError> {
  const parsed = parseWithSchema(header, value);
  if (parsed.kind === 'error') {
    return fail(parsed.error);
  }
  const settings = parseDeploymentSettings(parsed.value.settings);
  return settings.kind === 'error' ? settings : ok({ ...parsed.value, settings: settings.value });
}
