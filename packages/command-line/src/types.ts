/** Types that the commands of the program share. */
import type { SignalInbox } from './process/types';

/** Exit codes of the program; `exitCodes` names them. */
export type ExitCode = 0 | 1 | 2 | 3 | 4 | 5 | 6 | 7;

/** Flags of all commands; the usage text of each command lists those that it takes. */
export interface CommandFlags {
  readonly settings: string | undefined;
  readonly output: string | undefined;
  readonly json: boolean;
  readonly seconds: number;
  readonly seed: number;
  readonly rate: number;
  readonly target: readonly string[];
  readonly apiKey: readonly string[];
  readonly model: readonly string[];
  readonly tier: readonly string[];
  readonly orders: string | undefined;
  readonly host: string | undefined;
  readonly token: string | undefined;
  readonly deadline: string | undefined;
  readonly bake: string | undefined;
  readonly expectedRate: number | undefined;
  readonly platform: string | undefined;
  readonly to: string | undefined;
  /** Log files of entry hosts. */
  readonly log: readonly string[];
}

export interface CommandContext {
  /** Arguments after the command's name. */
  readonly input: readonly string[];
  readonly flags: CommandFlags;
  /** The signals of this process, for commands that keep them. */
  readonly signals: SignalInbox;
  /** Writes a line of results to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line about an error to standard error. */
  readonly printError: (line: string) => void;
}

export interface Command {
  readonly name: string;
  readonly usage: string;
  readonly summary: string;
  /** Whether the command handles signals itself; the others end by them. */
  readonly keepsSignals?: boolean;
  readonly run: (context: CommandContext) => Promise<ExitCode>;
}

/** An error in the settings file of a process. */
export interface SettingsFileDiagnostic {
  readonly code: 'unreadable-file' | 'malformed-line' | 'malformed-field' | 'missing-field';
  /** Line number, counted from 1; undefined when the field or the file is absent. */
  readonly line: number | undefined;
  /** Path of the field, separated by points; empty for the whole file. */
  readonly field: string;
  readonly message: string;
}
