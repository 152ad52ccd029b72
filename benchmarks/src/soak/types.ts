/** Types of the randomised runs in virtual time. */
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type {
  EntryHostIncarnation,
  Grant,
  GrantReleased,
  GrantRequested,
  InFlightRequest,
  PoolSummary,
  SchedulerMessage,
} from '@rattanreel/scheduling';

/** One fault of a scenario. */
export interface SoakFault {
  readonly kind:
    | 'hostDies'
    | 'hostPauses'
    | 'schedulerDies'
    | 'schedulerPauses'
    | 'engineTurnsCold'
    | 'engineRestarts'
    | 'engineSlows'
    | 'engineFails'
    | 'engineSilent'
    | 'engineDrained'
    | 'engineLeaves'
    | 'domainDrained'
    | 'burst'
    | 'badNetwork';
  readonly at: Milliseconds;
  readonly target: number;
  readonly duration: Milliseconds;
}

export interface SoakScenario {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  readonly arrivalsPerSecond: number;
  readonly faults: readonly SoakFault[];
}

/** Counts of a run's requests by outcome. Violations of invariants throw instead. */
export interface SoakCounts {
  arrivals: number;
  completed: number;
  refused: number;
  spilled: number;
  failed: number;
  withdrawn: number;
  lostWithHost: number;
}

/** State shared by the parts of a run. */
export interface SoakWorld {
  readonly clock: Clock;
  readonly random: Random;
  readonly counts: SoakCounts;
  /** Calls `deliver` after a random delay; drops and duplicates messages by `messageFaultShare`. */
  send(deliver: () => void): void;
  /** Share of messages that are lost, and share that are duplicated. */
  messageFaultShare: number;
}

/** State of a fake engine that faults change. */
export interface FakeEngineState {
  drained: boolean;
  drainedAt: Milliseconds | undefined;
  leaving: boolean;
  failing: boolean;
  silent: boolean;
  slowDownFactor: number;
}

/** A backend server that runs streams with random prefill times. */
export interface FakeEngine {
  readonly id: string;
  readonly streams: number;
  readonly version: string;
  readonly state: FakeEngineState;
  dispatch(grant: Grant, work: StreamWork, listener: StreamListener): void;
  cancel(request: string): void;
  resetToCold(): void;
  restart(downFor: Milliseconds): void;
  createLoadReport(): SchedulerMessage;
}

/** Size of one stream. */
export interface StreamWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export interface StreamListener {
  onFirstToken(after: Milliseconds): void;
  onEnd(outcome: GrantReleased['outcome'], duration: Milliseconds): void;
}

/** A request at an entry host; dispatched once it has a grant. */
export interface HostRequest {
  readonly grantRequest: GrantRequested;
  readonly arrivedAt: Milliseconds;
  requestedAt: Milliseconds;
  grant: Grant | undefined;
  firstTokenAfter: Milliseconds | undefined;
}

export interface FakeHostOptions {
  readonly world: SoakWorld;
  readonly name: string;
  readonly incarnation: string;
  readonly engines: readonly FakeEngine[];
  /** Identifiers of every request dispatched so far in the run. */
  readonly dispatched: Set<string>;
  sendToScheduler(message: SchedulerMessage): void;
}

/** An entry host that requests grants, uses each one once, and reports its requests in flight. */
export interface FakeHost {
  readonly member: EntryHostIncarnation;
  receiveRequest(): void;
  receiveGrant(grant: Grant): void;
  receiveRefusal(request: string): void;
  receiveSpillOver(request: string): void;
  getInFlight(): readonly InFlightRequest[];
  tick(): void;
  pause(span: Milliseconds): void;
  kill(): void;
  readonly waiting: number;
}

/** A running scenario. */
export interface SoakRun {
  readonly world: SoakWorld;
  readonly engines: readonly FakeEngine[];
  readonly hosts: FakeHost[];
  /** The scheduler that currently receives the entry hosts' messages. */
  readonly scheduler: FakeSchedulerHost;
  readonly flags: { domainDrained: boolean; arrivalFactor: number };
  /** Sends a message to the scheduler over the network. */
  sendToScheduler(message: SchedulerMessage): void;
  publishPool(): void;
  publishMembers(dead: readonly EntryHostIncarnation[]): void;
  reportInFlight(): void;
  replaceScheduler(): void;
  replaceHost(host: FakeHost): void;
}

/** A pool scheduler in a process that can be paused or killed. */
export interface FakeSchedulerHost {
  receive(message: SchedulerMessage): void;
  pause(span: Milliseconds): void;
  kill(): void;
  getSummary(): PoolSummary;
}
