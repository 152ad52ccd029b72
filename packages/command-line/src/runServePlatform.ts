import { watchFile } from 'node:fs';
import { servePlatform as start } from '@rattanreel/platform-adapter';
import catchUnexpectedErrors from './catchUnexpectedErrors';
import exitCodes from './exitCodes';
import getStartExitCode from './getStartExitCode';
import type { ExitCode } from './types';

/** Environment variable in which the platform passes the name of the settings file. */
const SETTINGS_ENVIRONMENT_VARIABLE = 'RATTANREEL_NODE_FILE';

/** Interval at which the settings file is polled; each poll costs one system call. */
const SETTINGS_POLL_INTERVAL_MS = 1_000;

interface ServePlatformOptions {
  /** Name of the settings file; that of the environment variable if undefined. */
  readonly settings: string | undefined;
  readonly printError: (line: string) => void;
}

/** Runs an entry host on the users' platform until SIGTERM; returns the exit code. */
export default async function runServePlatform(options: ServePlatformOptions): Promise<ExitCode> {
  const { printError } = options;
  const fileName = options.settings ?? process.env[SETTINGS_ENVIRONMENT_VARIABLE];
  if (fileName === undefined) {
    printError(`--settings FILE or ${SETTINGS_ENVIRONMENT_VARIABLE} is needed`);
    return exitCodes.usage;
  }
  const started = await start(fileName);
  if (started.kind === 'error') {
    const { error } = started;
    if (error.kind !== 'invalidSettings') {
      return getStartExitCode(error);
    }
    error.diagnostics.forEach(({ code, line, message }) =>
      printError(`${fileName}:${line ?? 0}: ${code}: ${message}`),
    );
    return exitCodes.invalidInput;
  }
  const { logger, reload } = started.value;
  const reloadAndLogFailure = (): void => {
    reload().catch((error: unknown) =>
      logger.error({ error: String(error) }, 'settings reload failed'),
    );
  };
  process.on('SIGHUP', reloadAndLogFailure);
  // The settings file may also change without a SIGHUP.
  watchFile(
    fileName,
    { interval: SETTINGS_POLL_INTERVAL_MS, persistent: false },
    reloadAndLogFailure,
  );
  catchUnexpectedErrors(started.value.recordError);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await started.value.stop();
  return exitCodes.success;
}
