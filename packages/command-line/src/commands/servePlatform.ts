import { watchFile } from 'node:fs';
import { servePlatform as start } from '@rattanreel/platform-adapter';
import exitCodes from '../exitCodes';
import type { Command } from '../types';

/** Environment variable in which the platform passes the name of the settings file. */
const SETTINGS_ENVIRONMENT_VARIABLE = 'RATTANREEL_NODE_FILE';

/** Interval at which the settings file is polled; each poll costs one system call. */
const SETTINGS_POLL_INTERVAL_MS = 1_000;

/** `serve-platform`: runs an entry host on the users' platform until SIGTERM. */
const servePlatform: Command = {
  name: 'serve-platform',
  usage: 'serve-platform [--settings FILE]',
  summary: "Run an entry host on the users' platform",
  async run(context) {
    const fileName = context.flags.settings ?? process.env[SETTINGS_ENVIRONMENT_VARIABLE];
    if (fileName === undefined) {
      context.printError(`--settings FILE or ${SETTINGS_ENVIRONMENT_VARIABLE} is needed`);
      return exitCodes.usage;
    }
    const started = await start(fileName);
    if (started.kind === 'error') {
      started.error.forEach(({ code, line, message }) =>
        context.printError(`${fileName}:${line ?? 0}: ${code}: ${message}`),
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
    process.on('unhandledRejection', (error) => {
      logger.error({ error: String(error) }, 'unhandled rejection');
    });
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await started.value.stop();
    return exitCodes.success;
  },
};

export default servePlatform;
