/** How an answer gets from a backend server to a caller. */
import type { AnswerHead } from '../servers/types';

/** Passes one answer on; the attempts that bring it may change. */
export interface AnswerRelay {
  /** Whether the caller has been sent any of it. */
  isCommitted(): boolean;
  /** Identifier of the last whole event passed on; undefined when nothing is to be resumed. */
  resumeAfter(): string | undefined;
  onHead(head: AnswerHead): void;
  /** Returns false when the caller reads too slowly. */
  onData(chunk: Buffer): boolean;
  /** Ends the answer as complete. */
  finish(): void;
}
