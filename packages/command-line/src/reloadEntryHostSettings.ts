import type { EntryHostSettings } from '@rattanreel/configuration';
import { listChangedFields } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import readEntryHostSettings from './readEntryHostSettings';

interface ReloadOptions {
  readonly fileName: string;
  /** Settings with which the process started. */
  readonly started: EntryHostSettings;
  /** Settings of the last reload, or those with which the process started. */
  readonly settings: EntryHostSettings;
  readonly logger: Pick<Logger, 'info' | 'error'>;
  /** Applies what takes effect without a restart. */
  readonly apply: (settings: EntryHostSettings) => void;
  /** Fields that `apply` applies; a restart applies the others. */
  readonly appliedFields?: readonly (keyof EntryHostSettings)[];
}

/**
 * Reads the settings file of `serve` again and applies what needs no restart; returns the settings of
 * this reload. If the file has errors, logs them and returns the previous ones. The caller runs one
 * reload at a time (`coalesceRuns`).
 */
export default async function reloadEntryHostSettings(
  options: ReloadOptions,
): Promise<EntryHostSettings> {
  const { started, settings, logger, appliedFields = [] } = options;
  const next = await readEntryHostSettings(options.fileName);
  if (next.kind === 'error') {
    logger.error(
      { diagnostics: next.error },
      'settings not reloaded, previous settings remain in force',
    );
    return settings;
  }
  options.apply(next.value);
  const changed = listChangedFields(settings, next.value);
  const needsRestart = listChangedFields(started, next.value).filter(
    (field) => !appliedFields.includes(field),
  );
  logger.info({ changed, needsRestart }, 'settings reloaded');
  return next.value;
}
