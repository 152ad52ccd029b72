import bindAnswers from './questionnaire/bindAnswers';
import checkReferences from './questionnaire/checkReferences';
import checkShape from './questionnaire/checkShape';
import generateSettings from './questionnaire/generateSettings';
import diagnosticMessages from './questionnaire/diagnosticMessages';
import parseAnswers from './questionnaire/parseAnswers';
import type { ParsedAnswers } from './questionnaire/types';
import type { CheckedQuestionnaire, Diagnostic, QuestionnaireSource } from './types';

/** Checks answers to the questionnaire and generates settings, or reports every mistake at once. */
export default function checkQuestionnaire(source: QuestionnaireSource): CheckedQuestionnaire {
  const parsed = parseAnswers(source);
  if (parsed.value === undefined) {
    return { kind: 'invalid', diagnostics: parsed.sink.diagnostics() };
  }
  const answers = checkShape(parsed);
  checkReferences(parsed, bindAnswers(parsed));
  const diagnostics = dropFollowOnDiagnostics(parsed);
  if (answers === undefined || diagnostics.length > 0) {
    return { kind: 'invalid', diagnostics };
  }
  return { kind: 'valid', ...generateSettings(answers) };
}

const SYNTAX_CODES: readonly number[] = [
  diagnosticMessages.invalidYaml.code,
  diagnosticMessages.duplicateField.code,
];
const WHOLE_FILE_CODES: readonly number[] = [
  diagnosticMessages.missingField.code,
  diagnosticMessages.unknownReference.code,
];

/**
 * Keeps only the certain diagnostics after a syntax error: text before the error was parsed
 * correctly.
 */
function dropFollowOnDiagnostics({ sink, syntaxErrorLine }: ParsedAnswers): readonly Diagnostic[] {
  const diagnostics = sink.diagnostics();
  return syntaxErrorLine === undefined
    ? diagnostics
    : diagnostics.filter(
        ({ code, line }) =>
          SYNTAX_CODES.includes(code) ||
          (line < syntaxErrorLine && !WHOLE_FILE_CODES.includes(code)),
      );
}
