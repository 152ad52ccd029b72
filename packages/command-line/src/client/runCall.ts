import exitCodes from '../exitCodes';
import type { CommandContext, ExitCode } from '../types';
import callAdministration from './callAdministration';
import exitCodeOf from './exitCodeOf';
import type { AdministrationCall, FormatAnswer } from './types';

const SUCCESS = 200;

/** Whether the flags name an entry host and a token; complains when they do not. */
function hasAddress({ flags, complain }: CommandContext): boolean {
  if (flags.host === undefined || flags.token === undefined) {
    complain('--host URL and --token TOKEN are needed');
    return false;
  }
  return true;
}

/** Sends a call, prints its answer or its problem, and returns the exit code. */
export default async function runCall(
  context: CommandContext,
  call: AdministrationCall,
  format: FormatAnswer,
): Promise<ExitCode> {
  if (!hasAddress(context)) {
    return exitCodes.usage;
  }
  const answer = await callAdministration(context, call);
  if (answer === undefined) {
    context.complain(`${context.flags.host}: cannot be reached`);
    return exitCodes.unavailable;
  }
  if (answer.status !== SUCCESS) {
    context.complain(JSON.stringify(answer.body, undefined, 2));
    return exitCodeOf(answer.status);
  }
  context.print(context.flags.json ? JSON.stringify(answer.body) : format(answer.body));
  return exitCodes.success;
}
