/** A randomised run of the real program as separate processes, with faults from outside. */
import type { Milliseconds } from '@rattanreel/core';

export type FaultKind =
  | 'hostKilled'
  | 'hostStopped'
  | 'hostPaused'
  | 'hostReloaded'
  | 'storeDown'
  | 'storeSilent'
  | 'storeCompacted'
  | 'storeLinkCut'
  | 'storeLinkReset'
  | 'serverCrashed'
  | 'serverFails'
  | 'serverLosesAnswers'
  | 'serverHangs'
  | 'serverLinkSlow'
  | 'serverLinkReset'
  | 'serverDrained'
  | 'domainEvacuated'
  | 'keyRevoked'
  | 'configurationStorm'
  | 'customerBurst';

/** One fault, and how long it lasts where it lasts. */
export interface Fault {
  readonly kind: FaultKind;
  readonly at: Milliseconds;
  readonly target: number;
  readonly duration: Milliseconds;
}

export type SoakRoute = 'order' | 'look' | 'draft';

/** One attempt of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly route: SoakRoute;
  readonly host: number;
  readonly customer: string;
  readonly key: string;
  readonly at: Milliseconds;
}

/** How an attempt ended, as its caller saw it. */
export type CallerEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly answersTo: string | undefined;
      readonly seal: string | undefined;
      readonly body: string;
    }
  | { readonly kind: 'cut'; readonly reason: string };

/** An arrival at a backend server that ran the request. */
export interface ObservedRun {
  readonly id: string;
  readonly server: string;
  readonly failureDomain: string;
  readonly at: Milliseconds;
  readonly customer: string | undefined;
  readonly hasKey: boolean;
}

/** A promise of the users' pages that did not hold. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

export interface RunSummary {
  readonly seed: number;
  readonly faults: number;
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  readonly violations: readonly Violation[];
}

/** Bounds that the checks use, from the users' pages; the settings files of the hosts name the same. */
export interface SoakBounds {
  readonly drain: Milliseconds;
  readonly evacuate: Milliseconds;
  readonly apply: Milliseconds;
  readonly stabilityWindow: Milliseconds;
  readonly recover: Milliseconds;
  readonly timeout: Milliseconds;
}

/** A loopback link whose faults are set from outside. */
export interface LinkProxy {
  readonly address: string;
  /** `silent` takes bytes and passes nothing on; `slow` delays each piece. */
  setState(state: 'open' | 'silent' | 'slow'): void;
  resetAll(): void;
  close(): void;
}

export interface SoakServer {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly link: LinkProxy;
  setMode(mode: ServerMode): void;
  close(): void;
}

export type ServerMode = 'well' | 'fails' | 'losesAnswers' | 'hangs';

/** Notes what happens in a run and judges it at the end. */
export interface SoakRecorder {
  now(): Milliseconds;
  recordSent(request: SentRequest): void;
  recordEnd(id: string, end: CallerEnd): void;
  recordRun(run: ObservedRun): void;
  recordArrival(service: string, id: string): void;
  /** A host, or all of them, is out of touch from now on for so long. */
  recordDisturbance(host: number | 'all', duration: Milliseconds, reason: DisturbanceReason): void;
  recordServerDrained(server: string): void;
  recordDomainEvacuated(failureDomain: string): void;
  recordDomainRestored(failureDomain: string): void;
  recordKeyRevoked(key: string): void;
  recordKeyGranted(key: string): void;
  /** A host's process ended by itself. */
  recordUnexpectedExit(detail: string): void;
  findViolations(): readonly Violation[];
  countRequests(): Pick<RunSummary, 'sent' | 'served' | 'refused'>;
}

/** What puts a host out of touch: a fault, or a start or a pause that this machine itself brought. */
export type DisturbanceReason = FaultKind | 'started' | 'soakHeldUp';

/** A span in which a host, or all of them, were out of touch. */
export interface Disturbance {
  readonly reason: DisturbanceReason;
  readonly host: number | 'all';
  readonly from: Milliseconds;
  readonly to: Milliseconds;
}

/** Something that is forbidden from one moment on, until another where there is one. */
export interface Exclusion {
  readonly what: 'server' | 'failureDomain' | 'key';
  readonly name: string;
  readonly from: Milliseconds;
  to: Milliseconds;
}

/** Everything noted in a run. */
export interface SoakRecord {
  readonly bounds: SoakBounds;
  readonly sent: ReadonlyMap<string, SentRequest>;
  readonly ends: ReadonlyMap<string, CallerEnd & { readonly at: Milliseconds }>;
  readonly runs: readonly ObservedRun[];
  /** Identifiers that arrived, by service, each time that they did. */
  readonly arrivals: readonly {
    readonly service: string;
    readonly id: string;
    readonly at: Milliseconds;
  }[];
  readonly disturbances: readonly Disturbance[];
  readonly exclusions: readonly Exclusion[];
  readonly keyGrants: readonly { readonly key: string; readonly at: Milliseconds }[];
}

/** An entry host as a process of its own. */
export interface SoakHost {
  readonly callerUrl: string;
  readonly readinessUrl: string;
  readonly storeLink: LinkProxy;
  readonly isRunning: boolean;
  start(): void;
  signal(signal: NodeJS.Signals): void;
  /** Writes the settings file again with a larger budget, and says so by SIGHUP. */
  reload(): void;
  /** Resolves when its process, if one runs, has ended. */
  waitForExit(): Promise<void>;
}
