import { readFile } from 'node:fs/promises';
import { parse } from 'yaml';
import { parseEntryHostSettings } from '@rattanreel/configuration';
import { createEntryHost } from '@rattanreel/entry-host';
import catchUnexpectedErrors from '../catchUnexpectedErrors';
import exitCodes from '../exitCodes';
import getStartExitCode from '../getStartExitCode';
import type { Command } from '../types';

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}

/** `serve`: runs an entry host until SIGTERM or SIGINT, then finishes the requests in flight. */
const serve: Command = {
  name: 'serve',
  usage: 'serve --settings FILE',
  summary: 'Run an entry host',
  async run(context) {
    const fileName = context.flags.settings;
    if (fileName === undefined) {
      context.printError('--settings FILE is needed');
      return exitCodes.usage;
    }
    const text = await readFile(fileName, 'utf8').catch(() => undefined);
    if (text === undefined) {
      context.printError(`${fileName}: cannot be read`);
      return exitCodes.invalidInput;
    }
    const settings = parseEntryHostSettings(parse(text));
    if (settings.kind === 'error') {
      context.printError(`${fileName}: ${JSON.stringify(settings.error)}`);
      return exitCodes.invalidInput;
    }
    const entryHost = await createEntryHost({ settings: settings.value });
    if (entryHost.kind === 'error') {
      if (entryHost.error.kind === 'plainTextOffLoopback') {
        context.printError(`${fileName}: ${JSON.stringify(entryHost.error)}`);
      }
      return getStartExitCode(entryHost.error);
    }
    catchUnexpectedErrors(entryHost.value.recordError);
    await waitForSignal();
    await entryHost.value.stop();
    return exitCodes.success;
  },
};

export default serve;
