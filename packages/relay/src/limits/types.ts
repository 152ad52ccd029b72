/** Types of the limits that backend servers name in their responses. */
import type { Milliseconds, PoolId } from '@rattanreel/core';
import type { ListedServer, ServerProcess } from '../types';

/** The limit of one process of a server, as it was last seen. */
export interface NamedLimit {
  /** Requests per second from all hosts together; null if the server took its limit back. */
  readonly rate: number | null;
  /** Time since a response said so. Clocks of two hosts are never compared. */
  readonly age: Milliseconds;
}

/** The limits that a host knows, by process or by pool. */
export type LimitReport = Readonly<Record<string, NamedLimit>>;

/** Rates that were named last, by what names them. */
export interface LatestRates {
  /** Records a rate, or that none is named any more; returns whether that is a change. */
  record(key: string, rate: number | undefined): boolean;
  isEmpty(): boolean;
  tryGet(key: string): number | undefined;
  /** Merges what another host saw; returns what is new. */
  merge(report: LimitReport): readonly (readonly [string, NamedLimit])[];
  tryGetReport(): LimitReport | undefined;
}

/**
 * Pools whose servers fall over when they have to turn more than a number of requests away in a
 * second.
 */
export interface BrittlePools {
  /** Records what a response of a server says; `undefined` if it is not brittle. */
  record(server: ListedServer, turnAways: number | undefined): void;
  isBrittle(pool: PoolId): boolean;
  merge(report: LimitReport): void;
  tryGetReport(): LimitReport | undefined;
}

export interface ServerLimits {
  /** Records what a response says; `undefined` if it names no limit. */
  record(server: ListedServer, rate: number | undefined): void;
  /** Returns the requests per second that a server takes from all hosts; undefined if unlimited. */
  tryGetRate(server: ServerProcess): number | undefined;
  merge(report: LimitReport): void;
  tryGetReport(): LimitReport | undefined;
}
