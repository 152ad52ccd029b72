import exitCodes from '../exitCodes';
import type { CommandContext, ExitCode } from '../types';
import callAdministration from './callAdministration';
import getExitCode from './getExitCode';
import type { AdministrationCall, FormatAnswer } from './types';

const SUCCESS_STATUS = 200;

/** Whether the flags contain an entry host and a token; prints an error if not. */
function checkHostAndToken({ flags, printError }: CommandContext): boolean {
  if (flags.host === undefined || flags.token === undefined) {
    printError('--host URL and --token TOKEN are needed');
    return false;
  }
  return true;
}

/** Sends a call, prints the answer or the problem document, and returns the exit code. */
export default async function runCall(
  context: CommandContext,
  call: AdministrationCall,
  format: FormatAnswer,
): Promise<ExitCode> {
  if (!checkHostAndToken(context)) {
    return exitCodes.usage;
  }
  const answer = await callAdministration(context, call);
  if (answer === undefined) {
    context.printError(`${context.flags.host}: cannot be reached`);
    return exitCodes.unavailable;
  }
  if (answer.status !== SUCCESS_STATUS) {
    context.printError(JSON.stringify(answer.body, undefined, 2));
    return getExitCode(answer.status);
  }
  context.print(context.flags.json ? JSON.stringify(answer.body) : format(answer.body));
  return exitCodes.success;
}
