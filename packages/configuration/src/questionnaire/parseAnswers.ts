import { LineCounter, parseDocument } from 'yaml';
import type { QuestionnaireSource } from '../types';
import createDiagnosticSink from './createDiagnosticSink';
import type { ParsedAnswers } from './types';

/** First phase: parses YAML text into plain data with positions. Reports syntax errors. */
export default function parseAnswers(source: QuestionnaireSource): ParsedAnswers {
  const lineCounter = new LineCounter();
  const document = parseDocument(source.text, { lineCounter, prettyErrors: false });
  const sink = createDiagnosticSink({ fileName: source.fileName, document, lineCounter });
  const kinds = new Set<string>();
  for (const error of document.errors) {
    if (error.code === 'DUPLICATE_KEY') {
      sink.reportOffset('duplicateField', error.pos[0]);
    } else if (!kinds.has(error.code)) {
      // Reports only the first syntax error of each kind; later ones are mostly caused by it.
      kinds.add(error.code);
      sink.reportOffset('invalidYaml', error.pos[0], { detail: error.message });
    }
  }
  const firstError = document.errors.find(({ code }) => code !== 'DUPLICATE_KEY');
  const syntaxErrorLine = firstError && lineCounter.linePos(firstError.pos[0]).line;
  try {
    return { value: document.toJS() as unknown, syntaxErrorLine, sink };
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    sink.reportOffset('invalidYaml', 0, { detail });
    return { value: undefined, syntaxErrorLine, sink };
  }
}
