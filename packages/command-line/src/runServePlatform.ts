import { watchFile } from 'node:fs';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { servePlatform as start } from '@rattanreel/platform-adapter';
import exitCodes from './exitCodes';
import runHostProcess from './process/runHostProcess';
import type { ManagedHost, SignalInbox, StartFailure } from './process/types';
import type { ExitCode } from './types';

/** Environment variable in which the platform passes the name of the settings file. */
const SETTINGS_ENVIRONMENT_VARIABLE = 'RATTANREEL_NODE_FILE';

/** Interval at which the settings file is polled; each poll costs one system call. */
const SETTINGS_POLL_INTERVAL_MS = 1_000;

interface ServePlatformOptions {
  /** Name of the settings file; that of the environment variable if undefined. */
  readonly settings: string | undefined;
  readonly signals: SignalInbox;
  readonly printError: (line: string) => void;
}

async function startHost(
  fileName: string,
  signal: AbortSignal,
): Promise<Outcome<ManagedHost, StartFailure>> {
  const started = await start(fileName, { signal });
  if (started.kind === 'error') {
    const { error } = started;
    return fail(error.kind === 'invalidSettings' ? { ...error, fileName } : error);
  }
  const { logger } = started.value;
  const reload = (): void => {
    started.value
      .reload()
      .catch((error: unknown) => logger.error({ error: String(error) }, 'settings reload failed'));
  };
  // The settings file may also change without a SIGHUP.
  watchFile(fileName, { interval: SETTINGS_POLL_INTERVAL_MS, persistent: false }, reload);
  return ok({ ...started.value, reload });
}

/** Runs an entry host on the users' platform until a signal stops it; returns the exit code. */
export default async function runServePlatform(options: ServePlatformOptions): Promise<ExitCode> {
  const { signals, printError } = options;
  const fileName = options.settings ?? process.env[SETTINGS_ENVIRONMENT_VARIABLE];
  if (fileName === undefined) {
    printError(`--settings FILE or ${SETTINGS_ENVIRONMENT_VARIABLE} is needed`);
    return exitCodes.usage;
  }
  return runHostProcess({ signals, printError, start: (signal) => startHost(fileName, signal) });
}
