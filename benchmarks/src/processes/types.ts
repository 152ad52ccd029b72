/**
 * Types of the randomised soak runs of the real program as separate processes with injected faults.
 */
import type { Milliseconds } from '@rattanreel/core';

/** Faults of what backend servers and other writers send. */
export type InputFaultKind = 'serverBreaksOff' | 'serverSendsWithoutEnd' | 'entryMalformed';

/** Signals that operators and supervisors send to a process that should stop, reload or go on. */
export type OperatorSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT' | 'SIGQUIT' | 'SIGUSR2';

/** Faults of the supervision of processes: signals in series, early restarts, addresses in use. */
export type ProcessFaultKind =
  | 'hostSignalled'
  | 'hostReloadedAtStart'
  | 'hostRestartedOverlapping'
  | 'hostsStoppedTogether'
  | 'hostsStoppedInTurn'
  | 'everyHostStopped'
  | 'portTaken';

export type WorldFaultKind =
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
  | 'customerBurst'
  | InputFaultKind;

interface DrawnFault<Kind> {
  readonly kind: Kind;
  readonly at: Milliseconds;
  readonly target: number;
  readonly duration: Milliseconds;
}

/** One fault; `duration` applies to the kinds that end. */
export type WorldFault = DrawnFault<WorldFaultKind>;

/** `after` is the time since the signal before. */
export interface SignalStep {
  readonly signal: OperatorSignal;
  readonly after: Milliseconds;
}

/** `signals` applies to `hostSignalled` and `everyHostStopped`, and as times to `hostReloadedAtStart`. */
export interface ProcessFault extends DrawnFault<ProcessFaultKind> {
  readonly signals: readonly SignalStep[];
}

export type Fault = WorldFault | ProcessFault;

/** Faults of all kinds and a recovery after them, or only stops, reloads and changes. */
export type SoakShape = 'faults' | 'stops';

export type SoakRoute = 'order' | 'look' | 'draft' | 'chat';

/** One request of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly route: SoakRoute;
  readonly host: number;
  readonly customer: string;
  readonly key: string;
  readonly at: Milliseconds;
  /** The shorter of the caller's deadline and the route's timeout. */
  readonly timeout: Milliseconds;
  /** Bytes that the server adds to each event. */
  readonly padding?: number;
  /** When its connection was opened, where known. */
  readonly connectedAt?: Milliseconds;
  /** Whether the caller leaves the response unread for some time. */
  readonly isReadLate?: boolean;
}

/** Callers of short requests, of streams of any length, and of streams that they read late. */
export type KeptCallerKind = 'short' | 'chat' | 'slowReader';

/** What a caller on a kept connection sends. */
export interface KeptRequest {
  readonly route: SoakRoute;
  readonly path: string;
  readonly deadline: Milliseconds;
  readonly padding: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Time from the first bytes of the body to the last. */
  readonly bodyDuration: Milliseconds;
  /** Time from the head of the response until the caller reads on. */
  readonly readsAfter: Milliseconds;
}

/** How a request ended for its caller; `lastByteAt` is when its last byte was sent, where known. */
export type CallerEnd = { readonly lastByteAt?: Milliseconds } & CallerEndKind;

type CallerEndKind =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly answersTo: string | undefined;
      readonly seal: string | undefined;
      readonly body: string;
      /** Whether the response closes its connection. */
      readonly closes: boolean;
    }
  | {
      readonly kind: 'cut';
      readonly reason: string;
      /** When the last byte was sent on a connection that had been used before, where known. */
      readonly reusedAt?: Milliseconds;
    };

/** A request that a host accepted and whose connection ended before its response was complete. */
export interface CutRequest {
  readonly request: SentRequest;
  /** When its last byte was sent, or else its first. */
  readonly sentAt: Milliseconds;
  readonly cutAt: Milliseconds;
  /** How far the host had accepted it. */
  readonly state: string;
}

/** A run of a request at a backend server. */
export interface ObservedRun {
  readonly id: string;
  readonly server: string;
  readonly failureDomain: string;
  readonly at: Milliseconds;
  readonly customer: string | undefined;
  readonly hasKey: boolean;
  /** When its response ended or its connection was closed; undefined before. */
  endedAt?: Milliseconds;
}

/** A violated guarantee; `promise` is its name. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** A signal for planned work that a host's process got. */
export interface SentSignal {
  readonly host: number;
  readonly process: number | undefined;
  readonly signal: OperatorSignal;
  readonly at: Milliseconds;
  /** When the process logged that it stops, if it did. */
  handledAt?: Milliseconds;
}

/** Responses in flight that a server broke off: that to `id`, or all of them. */
export interface ServerBreak {
  readonly server: string;
  readonly id?: string;
  readonly at: Milliseconds;
}

export interface RunSummary {
  readonly seed: number;
  readonly faults: number;
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  readonly violations: readonly Violation[];
}

/** Bounds that the checks use, from the users' requirements. */
export interface SoakBounds {
  readonly drain: Milliseconds;
  readonly evacuate: Milliseconds;
  readonly apply: Milliseconds;
  readonly stabilityWindow: Milliseconds;
  readonly recover: Milliseconds;
  readonly timeout: Milliseconds;
  /** Timeout of the route `chat`, beyond the grace period. */
  readonly chatTimeout: Milliseconds;
  /** Time in which a process must have ended after it was asked to stop. */
  readonly grace: Milliseconds;
  /** Time after which a request that was sent whole counts as accepted. */
  readonly lostSlack: Milliseconds;
}

/** A loopback proxy with injected faults. */
export interface LinkProxy {
  readonly address: string;
  /** `silent` reads and discards all bytes; `slow` delays each chunk. */
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
  /** Stretches the work of streams of `chat` by a factor from now on, also that in progress. */
  setPace(factor: number): void;
  close(): void;
}

export type ServerMode =
  | 'well'
  | 'fails'
  | 'losesAnswers'
  | 'hangs'
  /** Responses without a length are reset after a part of them. */
  | 'breaksOff'
  /** Streams send an event that does not end. */
  | 'sendsWithoutEnd';

/** Records the events of a run and checks the guarantees at its end. */
export interface SoakRecorder {
  now(): Milliseconds;
  recordSent(request: SentRequest): void;
  recordEnd(id: string, end: CallerEnd): void;
  /** Returns a function that records the end of the run. */
  recordRun(run: ObservedRun): () => void;
  recordArrival(service: string, id: string): void;
  /** Records that a host, or all of them, is disturbed from now on for `duration`. */
  recordDisturbance(host: number | 'all', duration: Milliseconds, reason: DisturbanceReason): void;
  /** Records that the machine held up a host's process, or the soak and so all, since `from`. */
  recordHeldUp(host: number | 'all', from: Milliseconds): void;
  recordServerDrained(server: string): void;
  recordDomainEvacuated(failureDomain: string): void;
  recordDomainRestored(failureDomain: string): void;
  recordKeyRevoked(key: string): void;
  recordKeyGranted(key: string): void;
  recordProcessViolation(violation: Violation): void;
  recordSignal(signal: Omit<SentSignal, 'at' | 'handledAt'>): void;
  /** Records that a process has logged that it stops, `age` ago. */
  recordStopHandled(process: number | undefined, age: Milliseconds): void;
  recordServerBreak(server: string, id?: string): void;
  /** Records that all hosts are stopped, for the end of the run. */
  recordFinalStop(): void;
  readonly isEnding: boolean;
  findViolations(): readonly Violation[];
  countRequests(): Pick<RunSummary, 'sent' | 'served' | 'refused'>;
}

/** Cause of a disturbance: a fault, a start of a host, or a machine that gives no processor time. */
export type DisturbanceReason = Fault['kind'] | 'started' | 'heldUp';

/** A period in which a host, or all of them, were disturbed. */
export interface Disturbance {
  readonly reason: DisturbanceReason;
  readonly host: number | 'all';
  readonly from: Milliseconds;
  readonly to: Milliseconds;
}

/** A server, failure domain or key that may not be used between `from` and `to`. */
export interface Exclusion {
  readonly what: 'server' | 'failureDomain' | 'key';
  readonly name: string;
  readonly from: Milliseconds;
  to: Milliseconds;
}

/** All events recorded in a run. */
export interface SoakRecord {
  readonly bounds: SoakBounds;
  readonly sent: ReadonlyMap<string, SentRequest>;
  readonly ends: ReadonlyMap<string, CallerEnd & { readonly at: Milliseconds }>;
  readonly runs: readonly ObservedRun[];
  /** Every arrival of a request at a service, retries included. */
  readonly arrivals: readonly {
    readonly service: string;
    readonly id: string;
    readonly at: Milliseconds;
  }[];
  readonly disturbances: readonly Disturbance[];
  readonly exclusions: readonly Exclusion[];
  readonly keyGrants: readonly { readonly key: string; readonly at: Milliseconds }[];
  readonly signals: readonly SentSignal[];
  readonly serverBreaks: readonly ServerBreak[];
  readonly finalStopAt: Milliseconds;
}

/** An entry host in a separate process; signals go to the process that was started last. */
export interface SoakHost {
  readonly callerUrl: string;
  /** Ports of its addresses. */
  readonly ports: readonly number[];
  /** Id of the process that was started last. */
  readonly processId: number | undefined;
  readonly readinessUrl: string;
  readonly storeLink: LinkProxy;
  readonly isRunning: boolean;
  /** Whether its process was asked to stop. */
  readonly isStopping: boolean;
  start(): void;
  /** Sends a signal at once. */
  control(signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void;
  /** Sends a signal once the program of the process runs; resolves when it was sent. */
  sendSignal(signal: OperatorSignal): Promise<void>;
  /** Rewrites the settings file and sends SIGHUP. */
  reload(): Promise<void>;
  /** Resolves once every process has exited; immediately if none is running. */
  waitForExit(): Promise<void>;
}

export interface HostWorld {
  readonly hosts: readonly SoakHost[];
  readonly recorder: SoakRecorder;
}
