import runServePlatform from '../runServePlatform';
import type { Command } from '../types';

/** `serve-platform`: runs an entry host on the users' platform until a signal stops it. */
const servePlatform: Command = {
  name: 'serve-platform',
  usage: 'serve-platform [--settings FILE]',
  summary: "Run an entry host on the users' platform",
  keepsSignals: true,
  run: ({ flags, signals, printError }) =>
    runServePlatform({ settings: flags.settings, signals, printError }),
};

export default servePlatform;
