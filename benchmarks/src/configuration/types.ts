/** Types of the configuration benchmark and of the simulation that it shares with its test. */
import type {
  AcceptedConfiguration,
  ChangeRequest,
  ConfigurationPeerMessage,
  ConfigurationStatus,
  DeploymentSettings,
  LocalDrain,
} from '@rattanreel/configuration';
import type { EntryHostId, Generation, Milliseconds, VirtualClock } from '@rattanreel/core';
import type { Membership, MembershipPeerMessage } from '@rattanreel/membership';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';

/** Sizes of a made-up deployment. */
export interface DeploymentSize {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly models: number;
  readonly engines: number;
  readonly customers: number;
}

/** What entry hosts send each other in the simulation. */
export type NetworkMessage =
  | { readonly kind: 'membership'; readonly message: MembershipPeerMessage }
  | { readonly kind: 'configuration'; readonly message: ConfigurationPeerMessage };

/** Bytes of encoded messages, without the transport's framing. */
export interface Traffic {
  membershipBytes: number;
  configurationBytes: number;
  messages: number;
}

/** A configuration that came into force at a host. */
export interface ActivationEvent {
  readonly entryHost: EntryHostId;
  /** Counts the processes that ran under the host's name. */
  readonly run: number;
  readonly generation: Generation;
  readonly changeId: string;
  readonly at: Milliseconds;
}

/** One entry host's process. */
export interface SimulatedHost {
  readonly id: EntryHostId;
  readonly failureDomain: string;
  readonly run: number;
  readonly running: boolean;
  readonly membership: Membership;
  /** Sent and received. */
  readonly traffic: Traffic;
  getStatus(): ConfigurationStatus;
  apply(request: ChangeRequest): Promise<string>;
  drainLocally(drain: LocalDrain): void;
}

export interface DeploymentOptions {
  readonly settings: DeploymentSettings;
  readonly seed: number;
  /** Share of the messages between hosts that are lost. */
  readonly loss?: number;
  /** Share of the messages that arrive a second time, some seconds late. */
  readonly repeated?: number;
}

/** Entry hosts, their network and the platform's store on virtual time. */
export interface Deployment {
  readonly clock: VirtualClock;
  readonly model: ObjectStoreModel;
  readonly activations: readonly ActivationEvent[];
  getHost(id: EntryHostId): SimulatedHost;
  getHosts(): readonly SimulatedHost[];
  start(id: EntryHostId): void;
  stop(id: EntryHostId): void;
  /** Cuts or mends the link between two names: hosts, domains, or `store`. */
  setLinkFailed(left: string, right: string, cut: boolean): void;
  restoreAllLinks(): void;
  /** Moves virtual time on and lets the store's promises run. */
  advance(span: Milliseconds): Promise<void>;
  /** Moves virtual time on until the work is done. */
  runUntilDone<Value>(work: Promise<Value>): Promise<Value>;
  close(): void;
}

/** The first configuration of a deployment, as if it had been accepted. */
export type FirstConfiguration = Pick<AcceptedConfiguration, 'settings'>;

/** Figures for one size. */
export interface PropagationResult {
  readonly hosts: number;
  readonly domains: number;
  readonly settingsBytes: number;
  readonly changes: number;
  /** From the operator's request to the last host. */
  readonly inForceEverywhereSeconds: { readonly median: number; readonly worst: number };
  readonly targetSeconds: number;
  /** In a steady minute without changes. */
  readonly storeCallsPerSecond: number;
  /** Watches open, each counted as one waiting call. */
  readonly storeWatchesOpen: number;
  /** For each change, over all hosts. */
  readonly storeCallsPerChange: number;
  /** Of membership and configuration, sent and received, in the steady minute and with a change every 66 s. */
  readonly bytesPerSecond: TrafficResult;
  readonly messagesPerSecondWorstHost: number;
  /** Processor time of the whole simulation in the steady minute, its network and clock included. */
  readonly processorSharePerHost: number;
}

export interface TrafficResult {
  readonly worstHost: number;
  readonly medianHost: number;
  readonly membershipWorstHost: number;
}

export interface ConfigurationBenchmarkResult {
  readonly seed: number;
  readonly spread: readonly PropagationResult[];
  /** One entry host's view of 12 domains of 30 hosts, with rooms of 37 pools from each. */
  readonly memberTableBytes: number;
}
