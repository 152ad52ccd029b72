/** Types that the phases of the questionnaire's check hand to each other. */
import type { infer as Infer } from 'zod';
import type { Diagnostic } from '../types';
import type answersSchema from './answersSchema';
import type diagnosticMessages from './diagnosticMessages';

/** Keys and positions that lead from the document's root to a value. */
export type FieldPath = readonly (string | number)[];

/** Key of a message in the table of diagnostics. */
export type DiagnosticName = keyof typeof diagnosticMessages;

/** Values for the placeholders of a message. */
export type DiagnosticArguments = Readonly<Record<string, string | number>>;

/** Answers that have the right shape. */
export type Answers = Infer<typeof answersSchema>;

/** Collects diagnostics of one file. */
export interface DiagnosticSink {
  /** Reports at the value that `path` names, or at its nearest enclosing value. */
  report(name: DiagnosticName, path: FieldPath, values?: DiagnosticArguments): void;
  /** Reports at the key of the field that `path` names. */
  reportKey(name: DiagnosticName, path: FieldPath, values?: DiagnosticArguments): void;
  /** Reports at a position of the text, counted in UTF-16 units from 0. */
  reportOffset(name: DiagnosticName, offset: number, values?: DiagnosticArguments): void;
  /** Line of the value that `path` names, counted from 1. */
  lineOf(path: FieldPath): number;
  /** All that was reported, in order of the file. */
  diagnostics(): readonly Diagnostic[];
}

/** The parsed file: a plain value and the means to find places in it. */
export interface ParsedAnswers {
  /** Plain data; undefined when the text cannot be read as such. */
  readonly value: unknown;
  /** Line of the first syntax error; what follows it may have been read wrongly. */
  readonly syntaxErrorLine: number | undefined;
  readonly sink: DiagnosticSink;
}

/** A text in the answers with its path. */
export interface LocatedText {
  readonly text: string;
  readonly path: FieldPath;
}

/** Names that the answers declare, as the binder found them. */
export interface Symbols {
  readonly tiers: readonly LocatedText[];
  readonly customers: readonly LocatedText[];
  readonly places: readonly LocatedText[];
  readonly entryHosts: readonly LocatedText[];
  readonly pools: readonly LocatedText[];
  readonly backendServers: readonly LocatedText[];
  readonly administrators: readonly LocatedText[];
}

/** A mapping of the answers whose fields may be wrong or missing. */
export interface UncheckedMapping {
  readonly path: FieldPath;
  /** The field's text; undefined when it is missing or no text. */
  tryGetText(field: string): LocatedText | undefined;
  tryGetNumber(field: string): number | undefined;
  /** The mappings in a list; empty when the field is missing or no list. */
  getMappings(field: string): readonly UncheckedMapping[];
  /** The texts in a list; empty when the field is missing or no list. */
  getTexts(field: string): readonly LocatedText[];
  /** The mapping in a field. */
  tryGetMapping(field: string): UncheckedMapping | undefined;
}
