import { parseArgs } from 'node:util';
import exitCodes from './exitCodes';
import type { SignalInbox } from './process/types';
import runServePlatform from './runServePlatform';

const printError = (line: string): void => {
  process.stderr.write(`${line}\n`);
};

/**
 * The program with the command `serve-platform` alone. Hundreds of small hosts start it and pay for
 * what they load, so its bundle holds only what this command needs. The launcher passes the signals
 * that it has received. Returns the exit code.
 */
export default async function servePlatformMain(signals: SignalInbox): Promise<number> {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string' } } });
    return await runServePlatform({ settings: values.settings, signals, printError });
  } catch (error) {
    printError(error instanceof Error ? (error.stack ?? error.message) : String(error));
    return exitCodes.unexpected;
  }
}
