/** Types of what hosts find out together of requests, limits and versions. */
import type { CrashReport } from '../crashes/types';
import type { LimitReport } from '../limits/types';
import type { RolloutReport } from '../rollouts/types';

/**
 * What hosts have found out about requests and servers, and agree on without the store. Each host
 * merges what it receives and passes it on.
 */
export interface FindingsReport {
  readonly kind: 'findings';
  readonly crashes?: CrashReport;
  readonly limits?: LimitReport;
  /** The pools whose servers are brittle. */
  readonly brittle?: LimitReport;
  readonly rollouts?: RolloutReport;
}

/** What this host has found out, or learnt from others. */
export interface Findings {
  merge(report: FindingsReport): void;
  /** Returns what other hosts should know; undefined if there is nothing. */
  tryGetReport(): FindingsReport | undefined;
}
