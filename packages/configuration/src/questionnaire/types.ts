/** Types that the phases of the questionnaire's check share. */
import type { infer as Infer } from 'zod';
import type { Diagnostic } from '../types';
import type answersSchema from './answersSchema';
import type diagnosticMessages from './diagnosticMessages';

/** Keys and positions that lead from the document's root to a value. */
export type FieldPath = readonly (string | number)[];

/** Key of a message in the table of diagnostic messages. */
export type DiagnosticName = keyof typeof diagnosticMessages;

/** Values for the placeholders of a message. */
export type DiagnosticArguments = Readonly<Record<string, string | number>>;

/** Answers of a valid shape. */
export type Answers = Infer<typeof answersSchema>;

/** Collects the diagnostics of one file. */
export interface DiagnosticSink {
  /** Reports a diagnostic at the value that `path` names, or at its nearest enclosing value. */
  report(name: DiagnosticName, path: FieldPath, values?: DiagnosticArguments): void;
  /** Reports a diagnostic at the key of the field that `path` names. */
  reportKey(name: DiagnosticName, path: FieldPath, values?: DiagnosticArguments): void;
  /** Reports a diagnostic at an offset in the text, in UTF-16 code units from 0. */
  reportOffset(name: DiagnosticName, offset: number, values?: DiagnosticArguments): void;
  /** Returns the line of the value that `path` names, counted from 1. */
  lineOf(path: FieldPath): number;
  /** Returns all reported diagnostics in the order of the file. */
  diagnostics(): readonly Diagnostic[];
}

/** Parsed file: its plain value and the sink that locates values in it. */
export interface ParsedAnswers {
  /** Plain data; undefined when the text cannot be converted into it. */
  readonly value: unknown;
  /**
   * Line of the first syntax error, undefined without one. Text after it may have been parsed
   * wrongly.
   */
  readonly syntaxErrorLine: number | undefined;
  readonly sink: DiagnosticSink;
}

/** Text in the answers with its path. */
export interface LocatedText {
  readonly text: string;
  readonly path: FieldPath;
}

/** Names that the answers declare, as collected by `bindAnswers`. */
export interface Symbols {
  readonly tiers: readonly LocatedText[];
  readonly customers: readonly LocatedText[];
  readonly places: readonly LocatedText[];
  readonly entryHosts: readonly LocatedText[];
  readonly pools: readonly LocatedText[];
  readonly backendServers: readonly LocatedText[];
  readonly administrators: readonly LocatedText[];
}

/** Mapping in the answers whose fields may be invalid or missing. */
export interface UncheckedMapping {
  readonly path: FieldPath;
  /** Returns the field's text, or undefined when it is missing or not a text. */
  tryGetText(field: string): LocatedText | undefined;
  tryGetNumber(field: string): number | undefined;
  /** Returns the mappings in a list; empty when the field is missing or not a list. */
  getMappings(field: string): readonly UncheckedMapping[];
  /** Returns the texts in a list; empty when the field is missing or not a list. */
  getTexts(field: string): readonly LocatedText[];
  /** Returns the mapping in a field; undefined when the field is missing. */
  tryGetMapping(field: string): UncheckedMapping | undefined;
}
