/** Types of the deployment that the demo runs in one process. */
import type { EntryHost } from '@rattanreel/entry-host';
import type { LoadRun } from '@rattanreel/load';
import type { EngineStandIn } from '@rattanreel/stand-in-engine';
import type { PlatformStandIn } from '@rattanreel/stand-in-platform';
import type { ServiceStandIn } from '@rattanreel/stand-in-service';

export interface DemoCustomer {
  readonly name: string;
  readonly weight: number;
  readonly tier: string;
  readonly apiKey: string;
}

export interface DemoPlace {
  readonly name: string;
  readonly entryHosts: readonly {
    readonly name: string;
    readonly callers: string;
    readonly peers: string;
  }[];
}

export interface DemoBackendServer {
  readonly name: string;
  readonly place: string;
  readonly address: string;
}

export interface DemoEngine extends DemoBackendServer {
  readonly hardware: 'fast' | 'slow';
}

/** Everything that the demo's answers to the questionnaire depend on. */
export interface DemoAnswersOptions {
  readonly platformUrl: string;
  readonly logLevel: 'info' | 'silent';
  readonly operatorToken: string;
  readonly customers: readonly DemoCustomer[];
  readonly places: readonly DemoPlace[];
  readonly engines: readonly DemoEngine[];
  readonly orderBooks: readonly DemoBackendServer[];
}

/** A running demo deployment. */
export interface DemoDeployment {
  readonly platform: PlatformStandIn;
  readonly engines: readonly EngineStandIn[];
  readonly orderBooks: readonly ServiceStandIn[];
  readonly entryHosts: readonly EntryHost[];
  readonly customers: readonly DemoCustomer[];
  /** Stops the entry hosts gracefully, then the stand-ins. */
  stop(): Promise<void>;
}

export interface DemoOptions {
  readonly seconds: number;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly logLevel: 'info' | 'silent';
  readonly onProgress: (line: string) => void;
}

/** Counts from the records of the stand-ins and the callers. */
export interface DemoReport {
  readonly requests: number;
  readonly answeredWhole: number;
  readonly refusedNotRun: number;
  readonly mayHaveRun: number;
  readonly partlyRun: number;
  readonly cutShort: number;
  readonly rejected: number;
  readonly crossedAnswers: number;
  readonly dispatchedTwice: number;
  readonly ordersBooked: number;
  readonly ordersBookedTwice: number;
  readonly falseNotRun: number;
  readonly goodputByTier: Readonly<Record<string, number>>;
  readonly wastedPrefillShare: number;
}

export interface DemoEvidence {
  readonly run: LoadRun;
  readonly engines: readonly EngineStandIn[];
  readonly orderBooks: readonly ServiceStandIn[];
}
