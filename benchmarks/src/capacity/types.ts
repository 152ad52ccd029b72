/** Types of the capacity table. */

/** Size of the users' target deployment, and its budgets. */
export interface CapacityTarget {
  readonly hosts: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly customers: number;
  readonly models: number;
  readonly failureDomains: number;
  readonly configurationChangesPerDay: number;
  readonly configurationSeconds: number;
  readonly firstTokenSeconds: number;
  readonly betweenTokensSeconds: number;
  /** Budgets of one host for control. */
  readonly controlCoreShare: number;
  readonly controlMegabytes: number;
  readonly controlBytesPerSecond: number;
  /** Rates of the platform's store. */
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
}

/** Measurements of the benchmarks; undefined where a report is missing. */
export interface CapacityMeasurements {
  readonly grantMicroseconds?: number | undefined;
  readonly requestMicroseconds?: number | undefined;
  readonly bytesPerQueuedRequest?: number | undefined;
  readonly busyMillisecondsPerRequest?: number | undefined;
  readonly busyMicrosecondsPerToken?: number | undefined;
  readonly configurationSecondsWorst?: number | undefined;
  readonly controlBytesPerSecondWorstHost?: number | undefined;
  readonly controlBytesPerSecondMedianHost?: number | undefined;
  readonly controlMessagesPerSecondWorstHost?: number | undefined;
  readonly controlCoreShare?: number | undefined;
  readonly storeCallsPerSecond?: number | undefined;
  readonly storeWatchesOpen?: number | undefined;
  readonly storeCallsPerChange?: number | undefined;
  readonly memberTableBytes?: number | undefined;
  readonly storeWritesPerKeyedOrder?: number | undefined;
  readonly idleMegabytesFromSource?: number | undefined;
  readonly idleMegabytesOfBinary?: number | undefined;
}

export type CapacityRole =
  | 'entry host'
  | 'pool scheduler'
  | 'delegate'
  | 'placement controller'
  | 'move controller'
  | 'shared per process';

/** One row of the table, as text. */
export interface CapacityRow {
  readonly role: CapacityRole;
  readonly state: string;
  readonly messages: string;
  readonly processor: string;
  readonly memory: string;
}

/** A report file that is absent, and the command that creates it. */
export interface MissingReport {
  readonly file: string;
  readonly command: string;
}

export interface ReadReports {
  readonly measurements: CapacityMeasurements;
  readonly missing: readonly MissingReport[];
}
