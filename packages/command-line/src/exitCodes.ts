import type { ExitCode } from './types';

/** Exit codes of the program by kind of failure. */
const exitCodes = {
  success: 0,
  unexpected: 1,
  usage: 2,
  invalidInput: 3,
  conflict: 4,
  unavailable: 5,
  notAllowed: 6,
  invariantViolated: 7,
} as const satisfies Readonly<Record<string, ExitCode>>;

export default exitCodes;
