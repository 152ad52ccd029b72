/** Scenarios and results of the moves benchmark. */
import type { Milliseconds } from '@rattanreel/core';
import type { MoveRecord, MoveVerdict, OutagePolicy, RecordAnswer } from '@rattanreel/moves';

export type FaultSymptom = 'fails' | 'slowFirstToken' | 'slowBetweenTokens';
export type FaultOnset = 'atOnce' | 'later' | 'underLoad' | 'oneRoute';

/** Fault of the new version, if any. */
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
      /** Share from which a fault of onset `underLoad` has effect. */
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

/** Faults of the store's writes, besides its outages. */
export interface StoreFaultShares {
  /** Share of writes whose response is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of writes that get no response and take effect later, if their condition then holds. */
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
  /** Pauses of the controller, which on resuming still assumes that it holds its lease. */
  readonly controllerPauses: readonly Interval[];
  readonly guardRestarts: readonly DomainInstant[];
  /** Partitions of a failure domain from the platform and from the others. */
  readonly partitions: readonly DomainInterval[];
  readonly cancelAt: readonly DomainInstant[];
}

export interface MoveRun {
  readonly verdict: MoveVerdict;
  readonly late: boolean;
  /** Whether every failure domain had full share by the deadline. */
  readonly fullShareInTime: boolean;
  /** Final verdicts that were stored or logged anywhere; more than one is a contradiction. */
  readonly observedVerdicts: readonly MoveVerdict[];
  readonly requests: number;
  /**
   * Requests affected by the fault and dispatched before a failure domain detected the regression.
   */
  readonly faultyBeforeDetection: number;
  /** Requests dispatched to the new version after the first detection. */
  readonly newAfterDetection: number;
  /**
   * Time from the end of the first faulty request to a zero share at every reachable failure
   * domain.
   */
  readonly fromFirstFaultyToZero: Milliseconds | undefined;
  /** Time from the first detection to a zero share at every reachable failure domain. */
  readonly fromDetectionToZero: Milliseconds | undefined;
  /**
   * Whether the first failure domain to detect the regression was partitioned, so that it could not
   * inform the others at once.
   */
  readonly detectedWhilePartitioned: boolean;
  /** Highest share of the new version in the decisions logged before the first detection. */
  readonly shareAtDetection: number;
  /** Whether the share rose at a reachable failure domain after it had been zero at all of them. */
  readonly roseAfterVeto: boolean;
}

/** Stores a move record with versions, conditional writes and faults, in virtual time. */
export interface RecordStore {
  read(onResponse: (answer: RecordAnswer) => void): void;
  write(record: MoveRecord, version: number, onResponse: (answer: RecordAnswer) => void): void;
  tryGetStored(): { readonly record: MoveRecord; readonly version: number } | undefined;
  isDown(): boolean;
  setDown(isDown: boolean): void;
}
