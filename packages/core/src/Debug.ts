import type { InvariantReporter } from './types';

/** Thrown by the default reporter when an invariant is violated, and by failed assertions. */
class InvariantError extends Error {
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(`${code}: ${message}`);
    this.name = 'InvariantError';
  }
}

let reporter: InvariantReporter = (violation) => {
  throw new InvariantError(violation.code, violation.message);
};

/**
 * Assertions of the whole program. The default reporter throws, as tests need; `servePlatform` sets
 * one that logs the violation and returns, so that the process continues.
 */
const Debug = {
  /** Replaces the reporter and returns the one it replaces. */
  setReporter(next: InvariantReporter): InvariantReporter {
    const previous = reporter;
    reporter = next;
    return previous;
  },

  /** Reports a violation of the invariant `code` unless `condition` holds; returns `condition`. */
  invariant(condition: boolean, code: string, message: () => string): boolean {
    if (!condition) {
      reporter({ kind: 'invariantViolation', code, message: message() });
    }
    return condition;
  },

  /** Throws unless `value` is defined; for values that the surrounding code guarantees. */
  checkDefined<Value>(value: Value | undefined | null, what: string): Value {
    if (value === undefined || value === null) {
      throw new InvariantError('undefined-value', `${what} must be defined`);
    }
    return value;
  },

  /** Ends an exhaustive switch; compiles only when every case is handled. */
  assertNever(value: never): never {
    throw new InvariantError('unhandled-case', `unhandled case ${JSON.stringify(value)}`);
  },
};

export default Debug;
