import { coalesceRuns, fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { createEntryHost } from '@rattanreel/entry-host';
import exitCodes from '../exitCodes';
import runHostProcess from '../process/runHostProcess';
import type { ManagedHost, StartFailure } from '../process/types';
import readEntryHostSettings from '../readEntryHostSettings';
import reloadEntryHostSettings from '../reloadEntryHostSettings';
import type { Command } from '../types';

/** Longer than the grace period and the time in which orders are recorded after it. */
const STOP_TIMEOUT_MS = 32_000;

async function startHost(
  fileName: string,
  signal: AbortSignal,
): Promise<Outcome<ManagedHost, StartFailure>> {
  const read = await readEntryHostSettings(fileName, { signal });
  if (signal.aborted) {
    return fail({ kind: 'stoppedUnread' });
  }
  if (read.kind === 'error') {
    return fail({ kind: 'invalidSettings', fileName, diagnostics: read.error });
  }
  const started = await createEntryHost({ settings: read.value, signal });
  if (started.kind === 'error') {
    return started;
  }
  const { logger, recordError, stop } = started.value;
  let settings = read.value;
  const reload = coalesceRuns(async () => {
    settings = await reloadEntryHostSettings({
      fileName,
      started: read.value,
      settings,
      logger,
      apply: () => undefined,
    });
  });
  return ok({
    logger,
    recordError,
    stop,
    getStopTimeout: () => STOP_TIMEOUT_MS,
    reload: () => {
      reload().catch((error: unknown) =>
        logger.error({ error: String(error) }, 'settings reload failed'),
      );
    },
    // The log writes what is buffered when the process exits.
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
    return runHostProcess({ signals, printError, start: (signal) => startHost(fileName, signal) });
  },
};

export default serve;
