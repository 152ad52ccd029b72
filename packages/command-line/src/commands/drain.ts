import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command } from '../types';
import tryReadDrainTarget from './tryReadDrainTarget';

/** `drain`: stops new work for a failure domain, entry host or backend server. */
const drain: Command = {
  name: 'drain',
  usage: 'drain failure-domain|entry-host|backend-server NAME --host URL --token TOKEN [--json]',
  summary: 'Take something out: it gets no new work; works also without the platform',
  async run(context) {
    const target = tryReadDrainTarget(context);
    return target === undefined
      ? exitCodes.usage
      : runCall(context, { method: 'POST', path: '/drains', body: target }, JSON.stringify);
  },
};

export default drain;
