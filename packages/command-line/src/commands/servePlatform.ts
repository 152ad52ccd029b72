import { servePlatform as start } from '@rattanreel/platform-adapter';
import exitCodes from '../exitCodes';
import type { Command } from '../types';

/** Environment variable in which the platform names the settings file. */
const SETTINGS_VARIABLE = 'RATTANREEL_NODE_FILE';

/** `serve-platform`: runs an entry host on the users' platform until SIGTERM. */
const servePlatform: Command = {
  name: 'serve-platform',
  usage: 'serve-platform [--settings FILE]',
  summary: "Run an entry host on the users' platform",
  async run(context) {
    const fileName = context.flags.settings ?? process.env[SETTINGS_VARIABLE];
    if (fileName === undefined) {
      context.complain(`--settings FILE or ${SETTINGS_VARIABLE} is needed`);
      return exitCodes.usage;
    }
    const started = await start(fileName);
    if (started.kind === 'error') {
      started.error.forEach(({ code, line, message }) =>
        context.complain(`${fileName}:${line ?? 0}: ${code}: ${message}`),
      );
      return exitCodes.invalidInput;
    }
    // A process that does not handle SIGHUP dies of it.
    process.on('SIGHUP', () => undefined);
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await started.value.stop();
    return exitCodes.success;
  },
};

export default servePlatform;
