/** Types of the limits that backend servers name in their responses. */
import type { EntryHostId, Milliseconds, PoolId } from '@rattanreel/core';
import type { HostSummary, ListedServer, ServerProcess, SlotLoanReport } from '../types';

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

/** A server's address, with this host's own slots there. */
export interface HomeSlots {
  readonly address: string;
  readonly home: number;
  readonly now: Milliseconds;
}

export interface SlotLoanCounts {
  /** Slots of this host that others hold. */
  readonly lent: number;
  /** Slots of others that this host holds. */
  readonly borrowed: number;
}

/** Slots of brittle servers lent between this host and others. */
export interface SlotLoans {
  /** Sets among whom all slots are divided, and the other registered hosts. */
  setOwners(
    owners: readonly string[],
    registeredHosts: readonly EntryHostId[],
    now: Milliseconds,
  ): void;
  /** Returns the slots that this host may use: its own that are not lent, and borrowed ones. */
  getUsable(
    options: HomeSlots & {
      /** Owners whose slots are to be returned rather than used again. */
      readonly isExcluded?: (host: EntryHostId) => boolean;
    },
  ): number;
  /** Lists borrowed slots of a server by owner. */
  listBorrowed(
    address: string,
    now: Milliseconds,
  ): readonly {
    readonly host: EntryHostId;
    readonly slots: number;
    readonly isUsable: boolean;
  }[];
  /** Lends a free slot; returns false if there is none, or the host cannot borrow. */
  tryLend(host: EntryHostId, slots: HomeSlots): boolean;
  /** Returns a free borrowed slot to its owner. */
  giveBack(host: EntryHostId, address: string, now: Milliseconds): void;
  merge(from: EntryHostId, report: SlotLoanReport, now: Milliseconds): void;
  getReport(now: Milliseconds): SlotLoanReport;
  countLoans(): SlotLoanCounts;
}

/** What hosts tell each other of slots that are lent. */
export interface LoanExchange {
  merge(message: Pick<HostSummary, 'entryHost' | 'waiting' | 'loans'>): void;
  /** Moves free slots to the hosts at which requests wait, and back. */
  balance(reachable: readonly Pick<HostSummary, 'entryHost' | 'waiting'>[]): void;
  /** Undefined if no pool is brittle. */
  tryGetReport(): SlotLoanReport | undefined;
  count(): SlotLoanCounts;
}
