import runCall from '../client/runCall';
import exitCodes from '../exitCodes';
import type { Command, CommandContext, ExitCode } from '../types';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_BAKE_SECONDS = 60;

function formatJson(body: unknown): string {
  return JSON.stringify(body, undefined, 2);
}

/** Parses `--deadline`, seconds from now or an ISO 8601 time, into milliseconds since 1970. */
function tryParseDeadline(text: string | undefined): number | undefined {
  const seconds = Number(text);
  const instant = Number.isFinite(seconds)
    ? Date.now() + seconds * MILLISECONDS_PER_SECOND
    : Date.parse(text ?? '');
  return Number.isNaN(instant) || text === undefined ? undefined : Math.round(instant);
}

async function startMove(context: CommandContext, pool: string): Promise<ExitCode> {
  const { to, deadline: deadlineText, bake } = context.flags;
  const deadline = tryParseDeadline(deadlineText);
  if (to === undefined || deadline === undefined) {
    context.printError('--to VERSION and --deadline SECONDS or ISO-TIME are needed');
    return exitCodes.usage;
  }
  const bakeTime = Number(bake ?? DEFAULT_BAKE_SECONDS) * MILLISECONDS_PER_SECOND;
  const requestsPerSecond = context.flags.expectedRate;
  const body = { pool, to, deadline, bakeTime, requestsPerSecond };
  return runCall(context, { method: 'POST', path: '/moves', body }, formatJson);
}

/** `move`: starts, lists and cancels moves of traffic between versions. */
const move: Command = {
  name: 'move',
  usage:
    'move start POOL --to VERSION --deadline SECONDS|ISO-TIME [--bake SECONDS]\n' +
    '        [--expected-rate REQUESTS-PER-SECOND] --host URL --token TOKEN\n' +
    '    move status --host URL --token TOKEN\n' +
    '    move cancel POOL --host URL --token TOKEN',
  summary: "Move a pool's traffic to another version by a deadline",
  async run(context) {
    const [action, pool] = context.input;
    if (action === 'status') {
      return runCall(context, { method: 'GET', path: '/moves' }, formatJson);
    }
    if (pool !== undefined && action === 'start') {
      return startMove(context, pool);
    }
    if (pool !== undefined && action === 'cancel') {
      const path = `/moves/${encodeURIComponent(pool)}`;
      return runCall(context, { method: 'DELETE', path }, formatJson);
    }
    context.printError('say start POOL, status or cancel POOL');
    return exitCodes.usage;
  },
};

export default move;
