/** Scenarios and results of the moves benchmark. */
import type { Milliseconds } from '@rattanreel/core';
import type { MoveRecord, MoveVerdict, OutagePolicy, RecordAnswer } from '@rattanreel/moves';

export type FaultSymptom = 'fails' | 'slowFirstToken' | 'slowBetweenTokens';
export type FaultOnset = 'atOnce' | 'later' | 'underLoad' | 'oneRoute';

/** What is wrong with the new version. */
export type VersionFault =
  | { readonly kind: 'good' }
  | {
      readonly kind: 'bad';
      readonly symptom: FaultSymptom;
      readonly onset: FaultOnset;
      /** Failure rate, or factor on the time. */
      readonly severity: number;
      /** Time since the start at which a fault of onset `later` begins. */
      readonly after: Milliseconds;
      /** Share from which a fault of onset `underLoad` shows. */
      readonly fromShare: number;
    };

export interface Interval {
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
}

export interface DomainInterval extends Interval {
  /** Index of the failure domain. */
  readonly domain: number;
}

export interface DomainInstant {
  readonly at: Milliseconds;
  readonly domain: number;
}

/** How the store treats calls besides its outages. */
export interface StoreFaultShares {
  /** Share of writes whose answer is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of writes that get no answer and land later, if their condition then holds. */
  readonly lateWriteShare: number;
}

export interface MoveScenario {
  readonly seed: number;
  readonly outagePolicy: OutagePolicy;
  readonly fault: VersionFault;
  readonly failureDomains: number;
  readonly requestsPerSecond: number;
  /** Time from the start to the deadline. */
  readonly span: Milliseconds;
  readonly bakeTime: Milliseconds;
  readonly storeFaults: StoreFaultShares;
  readonly outages: readonly Interval[];
  readonly controllerDeaths: readonly Milliseconds[];
  /** The controller stands still and wakes believing that it still holds its lease. */
  readonly controllerPauses: readonly Interval[];
  readonly guardRestarts: readonly DomainInstant[];
  /** A failure domain is cut off from the platform and from the others. */
  readonly partitions: readonly DomainInterval[];
  readonly cancelAt: readonly DomainInstant[];
}

export interface MoveRun {
  readonly verdict: MoveVerdict;
  readonly late: boolean;
  /** Whether every failure domain had full share by the deadline. */
  readonly fullShareInTime: boolean;
  /** Final verdicts that were said anywhere; more than one is a contradiction. */
  readonly observedVerdicts: readonly MoveVerdict[];
  readonly requests: number;
  /** Requests sent to the faulty version from its fault's first effect until it was judged bad. */
  readonly faultyBeforeDetection: number;
  /** Requests sent to the new version after the first failure domain had judged it bad. */
  readonly newAfterDetection: number;
  /** From the first faulty request's end to a share of nothing everywhere that can be reached. */
  readonly fromFirstFaultyToZero: Milliseconds | undefined;
  /** From the first failure domain's judgement to a share of nothing everywhere that can be reached. */
  readonly fromDetectionToZero: Milliseconds | undefined;
  /** The first failure domain to judge it bad was cut off, so that no other could be told at once. */
  readonly detectedWhilePartitioned: boolean;
  /** Share of the new version when it was judged bad. */
  readonly shareAtDetection: number;
  /** Whether the share rose anywhere that the veto had reached. */
  readonly roseAfterVeto: boolean;
}

/** A move record store with versions, conditions and faults, in virtual time. */
export interface RecordStore {
  read(onResponse: (answer: RecordAnswer) => void): void;
  write(record: MoveRecord, version: number, onResponse: (answer: RecordAnswer) => void): void;
  tryGetStored(): { readonly record: MoveRecord; readonly version: number } | undefined;
  isDown(): boolean;
  setDown(isDown: boolean): void;
}
