import { readFile } from 'node:fs/promises';
import { parse } from 'yaml';
import { parseEntryHostSettings } from '@rattanreel/configuration';
import { createEntryHost } from '@rattanreel/entry-host';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import exitCodes from '../exitCodes';
import runHostProcess from '../process/runHostProcess';
import type { ManagedHost, StartFailure } from '../process/types';
import type { Command, ExitCode } from '../types';

function failStart(exitCode: ExitCode, line: string): Outcome<never, StartFailure> {
  return fail({ kind: 'failed', exitCode, lines: [line] });
}

async function startHost(fileName: string): Promise<Outcome<ManagedHost, StartFailure>> {
  const text = await readFile(fileName, 'utf8').catch(() => undefined);
  if (text === undefined) {
    return failStart(exitCodes.invalidInput, `${fileName}: cannot be read`);
  }
  const settings = parseEntryHostSettings(parse(text));
  if (settings.kind === 'error') {
    return failStart(exitCodes.invalidInput, `${fileName}: ${JSON.stringify(settings.error)}`);
  }
  const started = await createEntryHost({ settings: settings.value });
  if (started.kind === 'error') {
    return failStart(exitCodes.unavailable, `${fileName}: ${JSON.stringify(started.error)}`);
  }
  const { logger, recordError, stop } = started.value;
  return ok({
    logger,
    recordError,
    stop,
    getStopTimeout: () => undefined,
    reload: () => logger.warn({ changed: [] }, 'settings reloaded'),
    flush: () => undefined,
  });
}

/** `serve`: runs an entry host until a signal stops it, then finishes the requests in flight. */
const serve: Command = {
  name: 'serve',
  usage: 'serve --settings FILE',
  summary: 'Run an entry host',
  keepsSignals: true,
  async run({ flags, signals, printError }) {
    const fileName = flags.settings;
    if (fileName === undefined) {
      printError('--settings FILE is needed');
      return exitCodes.usage;
    }
    return runHostProcess({ signals, printError, start: () => startHost(fileName) });
  },
};

export default serve;
