import { readFile } from 'node:fs/promises';
import { checkQuestionnaire, formatDiagnostics } from '@rattanreel/configuration';
import type { CheckedQuestionnaire } from '@rattanreel/configuration';
import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import exitCodes from '../exitCodes';
import type { CommandContext, ExitCode } from '../types';

type ValidAnswers = Extract<CheckedQuestionnaire, { readonly kind: 'valid' }>;

/** Reads and checks the answers named by the first argument; prints every mistake. */
export default async function readAnswers(
  context: CommandContext,
): Promise<Outcome<ValidAnswers, ExitCode>> {
  const fileName = context.input[0];
  if (fileName === undefined) {
    context.printError('name a file of answers');
    return fail(exitCodes.usage);
  }
  const text = await readFile(fileName, 'utf8').catch(() => undefined);
  if (text === undefined) {
    context.printError(`${fileName}: cannot be read`);
    return fail(exitCodes.invalidInput);
  }
  const checked = checkQuestionnaire({ fileName, text });
  if (checked.kind === 'valid') {
    return ok(checked);
  }
  if (context.flags.json) {
    context.print(JSON.stringify({ valid: false, diagnostics: checked.diagnostics }));
  } else {
    context.printError(formatDiagnostics(checked.diagnostics));
  }
  return fail(exitCodes.invalidInput);
}
