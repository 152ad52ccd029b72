import check from './commands/check';
import configure from './commands/configure';
import demo from './commands/demo';
import load from './commands/load';
import serve from './commands/serve';
import type { Command } from './types';

/** Every command, in the order of the help text. */
const commandTable: readonly Command[] = [serve, configure, check, load, demo];

export default commandTable;
