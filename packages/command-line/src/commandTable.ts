import apply from './commands/apply';
import check from './commands/check';
import configure from './commands/configure';
import demo from './commands/demo';
import drain from './commands/drain';
import explain from './commands/explain';
import explainRequest from './commands/explainRequest';
import load from './commands/load';
import move from './commands/move';
import restore from './commands/restore';
import serve from './commands/serve';
import servePlatform from './commands/servePlatform';
import status from './commands/status';
import type { Command } from './types';

/** All commands, in the order in which the help text lists them. */
const commandTable: readonly Command[] = [
  serve,
  servePlatform,
  check,
  configure,
  apply,
  status,
  drain,
  restore,
  move,
  explain,
  explainRequest,
  load,
  demo,
];

export default commandTable;
