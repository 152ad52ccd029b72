import { LineCounter, isNode, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import { parseEntryHostSettings } from '@rattanreel/configuration';
import type { EntryHostSettings, SettingsError } from '@rattanreel/configuration';
import { fail, readTextFile } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { SettingsFileDiagnostic } from './types';

function tryGetLine(document: Document, lines: LineCounter, field: string): number | undefined {
  const node = document.getIn(field.split('.'), true);
  return isNode(node) && node.range ? lines.linePos(node.range[0]).line : undefined;
}

function toDiagnostics(
  error: SettingsError,
  getLine: (field: string) => number | undefined,
): readonly SettingsFileDiagnostic[] {
  switch (error.kind) {
    case 'unknownFormatVersion': {
      const field = 'formatVersion';
      const message = `${field} must be one of ${error.supported.join(', ')}, not ${String(error.formatVersion)}`;
      return [{ code: 'malformed-field', line: getLine(field), field, message }];
    }
    case 'invalidSettings':
      return error.problems.map(({ field, detail }) => {
        const line = getLine(field);
        const code = line === undefined ? 'missing-field' : 'malformed-field';
        return { code, line, field, message: `${field || 'the file'}: ${detail}` };
      });
    default:
      return error satisfies never;
  }
}

interface ReadOptions {
  /** Gives up a read that waits for a writer of the file. */
  readonly signal?: AbortSignal | undefined;
}

/** Reads and checks the settings file of `serve`; fails with every error found in it. */
export default async function readEntryHostSettings(
  fileName: string,
  options: ReadOptions = {},
): Promise<Outcome<EntryHostSettings, readonly SettingsFileDiagnostic[]>> {
  let text: string;
  try {
    text = await readTextFile(fileName, options);
  } catch (error) {
    const message = `the file cannot be read: ${error instanceof Error ? error.message : String(error)}`;
    return fail([{ code: 'unreadable-file', line: undefined, field: '', message }]);
  }
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, prettyErrors: false });
  if (document.errors.length > 0) {
    return fail(
      document.errors.map(({ message, pos: [offset] }) => {
        const { line } = lineCounter.linePos(offset);
        return { code: 'malformed-line', line, field: '', message };
      }),
    );
  }
  const parsed = parseEntryHostSettings(document.toJS());
  return parsed.kind === 'error'
    ? fail(toDiagnostics(parsed.error, (field) => tryGetLine(document, lineCounter, field)))
    : parsed;
}
