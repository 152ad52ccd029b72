/** Types of the duties: calls to the platform that one host at a time makes, under a lease. */
import type {
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  PoolId,
} from '@rattanreel/core';
import type { ObjectStore } from '@rattanreel/platform';
import type { AutoscaleSettings, UsageReport } from '../types';

export type DutyName = 'usage' | 'scale';

/** Settings of the duties of a deployment. */
export interface DutySettings {
  readonly duties: readonly DutyName[];
  /** Calls per second that the platform accepts from all hosts together. */
  readonly callsPerSecond: number;
  readonly leaseDuration: Milliseconds;
  /** Length of a window whose usage is reported. */
  readonly reportWindow: Milliseconds;
  /** Time after the end of a window at which its report is due. */
  readonly reportDelay: Milliseconds;
}

export type UsageCounts = Readonly<Record<CustomerId, number>>;

/** A call of a duty. Its subject is what it acts on; one call of a subject is in flight at a time. */
export type DutyCall =
  | { readonly kind: 'usage'; readonly window: number; readonly counts: UsageCounts }
  | {
      readonly kind: 'scale';
      readonly pool: PoolId;
      readonly failureDomain: FailureDomainId;
      readonly desired: number;
    };

export interface DutyCallOptions {
  readonly holder: EntryHostId;
  /** Fencing token. */
  readonly token: number;
  readonly timeout: Milliseconds;
  /** Asked right before the bytes are written; the call is not sent if it returns false. */
  readonly mayWrite: () => boolean;
}

export type DutyReply =
  | { readonly kind: 'accepted' }
  /** The platform did not carry the call out. */
  | { readonly kind: 'refused'; readonly status: number }
  /** The call may have been carried out. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'notSent' };

/** Carries the calls to the platform; never sends one twice. */
export interface DutyCalls {
  send(call: DutyCall, options: DutyCallOptions): Promise<DutyReply>;
  close(): void;
}

/** The part of the platform's store that the duties use. */
export type DutyStore = Pick<ObjectStore, 'get' | 'list' | 'create' | 'update' | 'remove'>;

/** What a deployment with duties provides. */
export interface DutyOptions {
  readonly settings: DutySettings;
  readonly store: DutyStore;
  readonly calls: DutyCalls;
  /** Returns the era of a version of the store. */
  readonly getEra: (version: number) => number;
}

/** A lease that this host holds now, and the token that it gives its calls. */
export interface DutyHolding {
  readonly token: number;
  readonly era: number;
  readonly renewedAt: Milliseconds;
  /** Time before which calls of the last holder may still arrive. */
  readonly actsFrom: Milliseconds;
  readonly expiresAt: Milliseconds;
  readonly wallExpiresAt: number;
}

/** Finds pauses of the process and suspensions of the machine. */
export interface PauseDetector {
  /** Returns when the last pause ended; -Infinity if there was none. */
  getLastPauseEnd(): Milliseconds;
  /** Records that a timer ran as planned. */
  tick(): void;
}

/** Makes calls under the lease. */
export interface FencedCaller {
  /** Returns undefined if the call may not be made now. */
  tryCall(subject: string, call: DutyCall): Promise<DutyReply> | undefined;
}

/** Time by which the windows advance. */
export interface WindowClock {
  /** Returns Unix milliseconds. */
  now(): number;
  /** Whether a step of the wall clock was found that no other host confirms. */
  isStepped(): boolean;
  /** Records the window time of another host. */
  recordPeerTime(host: EntryHostId, time: number): void;
}

/** The usage of one window over all hosts, as known here. */
export interface UsageSum {
  readonly counts: UsageCounts;
  readonly total: number;
  /** Whether a host counted during the window. */
  readonly isCounted: boolean;
  /** Hosts from which counts of the window may be missing. */
  readonly missing: readonly EntryHostId[];
}

/** How a row came here; decides to whom it is passed on. */
export type UsageOrigin = 'scheduled' | 'peer';

/** Counts of all hosts by window and customer. */
export interface UsageTable {
  recordBegun(customer: CustomerId): void;
  /** Merges the counts of another host and of those whose counts it passes on. */
  merge(sender: EntryHostId, report: UsageReport, origin: UsageOrigin): void;
  /** Returns a report with what changed since `since`, with or without the rows of other hosts. */
  createReport(since: Milliseconds, options: UsageReportOptions): UsageReport;
  /** Marks all counts as changed, for a host that may know none of them. */
  touch(): void;
  sum(window: number): UsageSum;
  countRows(): number;
}

export interface UsageReportOptions {
  /** Rows of other hosts that are included: with these origins, and at least this old windows. */
  readonly passedOn: ReadonlySet<UsageOrigin>;
  /** Whether windows that have not ended are passed on too. */
  readonly includesOpen: boolean;
}

/** A window's usage as it is sent, whoever sends it. */
export interface UsageRecord {
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Result of an attempt to record a window. */
export type RecordResult =
  | { readonly kind: 'recorded'; readonly record: UsageRecord; readonly era: number }
  | { readonly kind: 'notRecorded' };

/** The recorded windows in the platform's store. */
export interface UsageRecords {
  /** Lists the records that the store holds; undefined if it does not respond. */
  list(): Promise<{ readonly records: readonly UsageRecord[]; readonly era: number } | undefined>;
  /** Records a window, or returns the record that exists. */
  create(record: UsageRecord): Promise<RecordResult>;
  remove(window: number): Promise<void>;
}

/** Demand for servers of a pool in one failure domain, over all hosts. */
export interface ScaleDemand {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly settings: AutoscaleSettings;
  /** Requests in flight at the servers of the domain, and those that wait at its hosts. */
  readonly inFlight: number;
  readonly waiting: number;
  readonly ready: number;
  readonly draining: number;
  /** Slots of one server. */
  readonly slots: number;
  /** Whether a host of the domain is heard, so that its demand is known. */
  readonly isKnown: boolean;
}

/** What is remembered of the orders for a pool in one failure domain. */
export interface ScaleState {
  /** Moving average of the requests in flight and waiting. */
  readonly load: number;
  readonly updatedAt: Milliseconds;
  /** Servers that were ordered last, and when; undefined before the first order. */
  readonly ordered: number | undefined;
  readonly orderedAt: Milliseconds;
  /** Since when fewer servers than ordered are needed, and how many at most in this time. */
  readonly lowSince: Milliseconds | undefined;
  readonly neededSince: number;
}

export interface ScaleDecision {
  readonly state: ScaleState;
  /** Servers to order; undefined if none are ordered now. */
  readonly desired: number | undefined;
}

/** Figures for the metrics. */
export interface DutyFigures {
  readonly isHolder: boolean;
  readonly token: number;
  readonly lastFixedWindow: number;
  readonly lastSentWindow: number;
  /** Fixed windows that are not yet sent. */
  readonly pending: number;
  /** Time since the end of the oldest window that is not yet sent. */
  readonly lag: Milliseconds;
  /** Requests counted after their window was fixed. */
  readonly late: number;
  readonly rows: number;
  readonly isClockStepped: boolean;
  readonly calls: Readonly<Record<DutyReply['kind'], number>>;
}

/** The duties' part of messages to other hosts. */
export interface DutyFields {
  /** Returns the counts for the scheduler, or for the other hosts; undefined if none are due. */
  tryGetReport(recipient: 'scheduler' | 'peers'): UsageReport | undefined;
  tryGetWindowTime(): number | undefined;
}

/** The duties at one host. */
export interface Duties extends DutyFields {
  /** Counts a request that began to run. */
  recordBegun(customer: CustomerId | undefined): void;
  merge(sender: EntryHostId, report: UsageReport, origin: UsageOrigin): void;
  /** Records the window time of the scheduler. */
  recordPeerTime(host: EntryHostId, time: number): void;
  getFigures(): DutyFigures;
  stop(): Promise<void>;
}
