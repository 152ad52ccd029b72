import type { ExplainedDecision } from '@rattanreel/administration';
import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command } from '../types';
import explainFromLogs from './explainFromLogs';

function formatDecisions(body: unknown): string {
  const { items } = body as { readonly items: readonly ExplainedDecision[] };
  const lines = items.map(({ at, entryHost, decision }) => {
    const { kind, decision: name, ...fields } = decision;
    return `${at} ${entryHost} ${kind} ${name} ${JSON.stringify(fields)}`;
  });
  return lines.length === 0 ? 'no decision is kept about this request' : lines.join('\n');
}

/** `explain`: prints the decisions about a request with their reasons. */
const explain: Command = {
  name: 'explain',
  usage: 'explain REQUEST (--log FILE... | --host URL --token TOKEN) [--json]',
  summary: 'Tell what was decided about a request, and why',
  async run(context) {
    const request = context.input[0];
    if (request === undefined) {
      context.printError('name a request');
      return exitCodes.usage;
    }
    if (context.flags.log.length > 0) {
      const lines = await explainFromLogs(request, context.flags.log);
      lines.forEach(context.print);
      return lines.length === 0 ? exitCodes.invalidInput : exitCodes.success;
    }
    const path = `/requests/${encodeURIComponent(request)}/decisions`;
    return runCall(context, { method: 'GET', path }, formatDecisions);
  },
};

export default explain;
