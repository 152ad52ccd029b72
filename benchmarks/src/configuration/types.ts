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

/** Sizes of a synthetic deployment. */
export interface DeploymentSize {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly models: number;
  readonly engines: number;
  readonly customers: number;
}

/** Messages between entry hosts in the simulation. */
export type NetworkMessage =
  | { readonly kind: 'membership'; readonly message: MembershipPeerMessage }
  | { readonly kind: 'configuration'; readonly message: ConfigurationPeerMessage };

/** Traffic of one host; bytes are those of encoded messages, without the transport's framing. */
export interface Traffic {
  membershipBytes: number;
  configurationBytes: number;
  messages: number;
}

/** Activation of a configuration at a host. */
export interface ActivationEvent {
  readonly entryHost: EntryHostId;
  /** Number of the process among those that ran under the host's name. */
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
  /** Counts sent and received messages. */
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
  /** Share of the messages that arrive a second time, up to some seconds late. */
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
  /** Fails or restores the link between two names: hosts, failure domains or `store`. */
  setLinkFailed(left: string, right: string, failed: boolean): void;
  restoreAllLinks(): void;
  /** Advances virtual time and lets the store's promises settle. */
  advance(span: Milliseconds): Promise<void>;
  /** Advances virtual time until the work is done. */
  runUntilDone<Value>(work: Promise<Value>): Promise<Value>;
  close(): void;
}

/** Settings of a deployment's first configuration. */
export type FirstConfiguration = Pick<AcceptedConfiguration, 'settings'>;

/** Figures of a deployment of one size. */
export interface PropagationResult {
  readonly hosts: number;
  readonly domains: number;
  readonly settingsBytes: number;
  readonly changes: number;
  /** Time from the operator's request to the activation at the last host. */
  readonly inForceEverywhereSeconds: { readonly median: number; readonly worst: number };
  readonly targetSeconds: number;
  /** In a steady minute without changes. */
  readonly storeCallsPerSecond: number;
  /** Open watches, each counted as one pending call. */
  readonly storeWatchesOpen: number;
  /** Calls per change beyond the steady rate, over all hosts. */
  readonly storeCallsPerChange: number;
  /** Membership and configuration traffic, sent and received, with a change every 66 s. */
  readonly bytesPerSecond: TrafficResult;
  readonly messagesPerSecondWorstHost: number;
  /**
   * Processor time of the whole simulation in the steady minute, with its network and clock, per
   * host.
   */
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
  /**
   * Heap bytes of one entry host's membership: 12 domains of 30 hosts, with the capacities of 37
   * pools from each domain.
   */
  readonly memberTableBytes: number;
}
