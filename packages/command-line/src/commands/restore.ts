import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command } from '../types';
import tryReadDrainTarget from './tryReadDrainTarget';

/** `restore`: ends the drain of a failure domain, entry host or backend server. */
const restore: Command = {
  name: 'restore',
  usage: 'restore failure-domain|entry-host|backend-server NAME --host URL --token TOKEN [--json]',
  summary: 'Bring back what was drained; needs the platform',
  async run(context) {
    const target = tryReadDrainTarget(context);
    if (target === undefined) {
      return exitCodes.usage;
    }
    const path = `/drains/${target.kind}/${encodeURIComponent(target.id)}`;
    return runCall(context, { method: 'DELETE', path }, JSON.stringify);
  },
};

export default restore;
