import type { Diagnostic } from './types';

/** Formats diagnostics for a terminal, one per line: `file:line:column - error RR2001: ...`. */
export default function formatDiagnostics(diagnostics: readonly Diagnostic[]): string {
  return diagnostics.map((diagnostic) => `${formatDiagnostic(diagnostic)}\n`).join('');
}

function formatDiagnostic(diagnostic: Diagnostic): string {
  const { fileName, line, column, category, code, field, message, allowed } = diagnostic;
  const place = field === '' ? '' : `${field}: `;
  const hint = allowed === '' ? '' : ` Allowed: ${allowed}.`;
  return `${fileName}:${line}:${column} - ${category} RR${code}: ${place}${message}${hint}`;
}
