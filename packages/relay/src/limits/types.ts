/** Types of the limits that backend servers name in their responses. */
import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer, ServerProcess } from '../types';

/** The limit of one process of a server, as it was last seen. */
export interface NamedLimit {
  /** Requests per second from all hosts together; null if the server took its limit back. */
  readonly rate: number | null;
  /** Time since a response said so. Clocks of two hosts are never compared. */
  readonly age: Milliseconds;
}

/** The limits that a host knows, by process. */
export type LimitReport = Readonly<Record<string, NamedLimit>>;

export interface ServerLimits {
  /** Records what a response says; `undefined` if it names no limit. */
  record(server: ListedServer, rate: number | undefined): void;
  /** Returns the requests per second that a server takes from all hosts; undefined if unlimited. */
  tryGetRate(server: ServerProcess): number | undefined;
  merge(report: LimitReport): void;
  tryGetReport(): LimitReport | undefined;
}
