import runServePlatform from '../runServePlatform';
import type { Command } from '../types';

/** `serve-platform`: runs an entry host on the users' platform until SIGTERM. */
const servePlatform: Command = {
  name: 'serve-platform',
  usage: 'serve-platform [--settings FILE]',
  summary: "Run an entry host on the users' platform",
  run: ({ flags, printError }) => runServePlatform({ settings: flags.settings, printError }),
};

export default servePlatform;
