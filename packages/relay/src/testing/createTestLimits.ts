import type { Clock, Milliseconds } from '@rattanreel/core';
import headerNames from './headerNames';
import type { TestHost } from './types';

/** A limit that an engine names from a time on; undefined if it names none. */
interface LimitChange {
  readonly at: Milliseconds;
  readonly limit: number | undefined;
}

/** Creates the limits that an engine names in its answers. */
export default function createTestLimits(clock: Clock) {
  const limits: LimitChange[] = [];
  /** When each host first received an answer that names a limit. */
  const toldAt = new Map<TestHost, Milliseconds>();

  return {
    limits,
    toldAt,
    getHeaders(host: TestHost): Readonly<Record<string, string>> {
      const limit = limits.at(-1)?.limit;
      if (limit === undefined) {
        return {};
      }
      if (!toldAt.has(host)) {
        toldAt.set(host, clock.now());
      }
      return { [headerNames.limit]: String(limit) };
    },
    set(limit: number | undefined): void {
      limits.push({ at: clock.now(), limit });
    },
  };
}
