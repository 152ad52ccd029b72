/**
 * Types of the settings of a deployment, as generated from the questionnaire, of the settings of
 * one entry host's process, and of the configuration protocol.
 */
import type {
  BackendServerId,
  Clock,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Generation,
  Milliseconds,
  Outcome,
  PoolId,
  Random,
  VersionId,
} from '@rattanreel/core';
import type { ObjectStore, StoreError } from '@rattanreel/platform';

/**
 * Tier of requests. The order of tiers in the settings is their order of priority, highest first.
 */
export interface TierSettings {
  readonly id: string;
  /** Deadline for the first token, or for the whole answer of a plain service. */
  readonly firstTokenMilliseconds: Milliseconds;
  /** Deadline between two tokens. */
  readonly betweenTokensMilliseconds: Milliseconds;
  /** Deadline for the whole answer when the caller states none. */
  readonly defaultDeadlineMilliseconds: Milliseconds;
}

export interface CustomerSettings {
  readonly id: CustomerId;
  /** Share of a tier's capacity relative to the other customers'. */
  readonly weight: number;
  /** Highest tier that this customer's requests may ask for. */
  readonly tier: string;
  /** SHA-256 hash of each API key in hexadecimal. */
  readonly apiKeyHashes: readonly string[];
}

export interface EntryHostAddress {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  /** Address for callers, as host:port. */
  readonly callerAddress: string;
  /** Address for other entry hosts, as host:port. */
  readonly peerAddress: string;
}

export interface FailureDomainSettings {
  readonly id: FailureDomainId;
  readonly region: string;
}

/** Pool of model engines. */
export interface ModelPoolSettings {
  readonly kind: 'model';
  readonly id: PoolId;
  readonly model: string;
  readonly versions: readonly VersionId[];
  /** Version that serves while no move is in progress. */
  readonly currentVersion: VersionId;
}

/** Route of a plain service, matched by method and path prefix. */
export interface ServiceRouteSettings {
  readonly method: string;
  readonly pathPrefix: string;
  /** Whether a call may be retried; one that may not runs at most once. */
  readonly repeatable: boolean;
  /** Tier of the route if it differs from the customer's. */
  readonly tier?: string;
}

/** Pool of instances of one plain service. */
export interface ServicePoolSettings {
  readonly kind: 'service';
  readonly id: PoolId;
  readonly service: string;
  readonly routes: readonly ServiceRouteSettings[];
  readonly versions: readonly VersionId[];
  readonly currentVersion: VersionId;
}

export type PoolSettings = ModelPoolSettings | ServicePoolSettings;

export interface BackendServerSettings {
  readonly id: BackendServerId;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  /** Base URL. */
  readonly address: string;
  /** Name of the hardware generation; speed is learnt per backend server, starting from its kind. */
  readonly hardware: string;
  /** Version that the backend server is expected to serve until it reports another. */
  readonly version: VersionId;
  /** Whether the backend server rejects an order with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Memory for running requests, in tokens; a service counts one token per call. */
  readonly memoryTokens: number;
  /** Largest number of concurrent requests. */
  readonly maximumStreams: number;
}

export type AdministratorRole = 'viewer' | 'operator';

export interface AdministratorSettings {
  readonly name: string;
  readonly role: AdministratorRole;
  /** SHA-256 hash of the token in hexadecimal. */
  readonly tokenHash: string;
}

/** Failure domains, entry hosts and backend servers that operators have drained. */
export interface DrainedSettings {
  readonly failureDomains: readonly FailureDomainId[];
  readonly entryHosts: readonly EntryHostId[];
  readonly backendServers: readonly BackendServerId[];
  /**
   * Ids of the local drains that these settings include or that a restore has ended, newest last.
   */
  readonly recordedLocalDrains?: readonly string[];
}

/** Settings of a whole deployment. */
export interface DeploymentSettings {
  readonly kind: 'deploymentSettings';
  readonly formatVersion: 1;
  readonly deployment: string;
  readonly failureDomains: readonly FailureDomainSettings[];
  readonly entryHosts: readonly EntryHostAddress[];
  readonly tiers: readonly TierSettings[];
  readonly customers: readonly CustomerSettings[];
  readonly pools: readonly PoolSettings[];
  readonly backendServers: readonly BackendServerSettings[];
  readonly administrators: readonly AdministratorSettings[];
  readonly drained: DrainedSettings;
}

/** Configuration accepted by the store. Its generation only increases. */
export interface AcceptedConfiguration {
  readonly kind: 'acceptedConfiguration';
  readonly generation: Generation;
  /**
   * Identifies the change, so that its author can read it back and find out whether it was accepted
   * after a lost answer.
   */
  readonly changeId: string;
  readonly author: string;
  /** ISO 8601 wall-clock time at the author's host, for display only. */
  readonly acceptedAt: string;
  readonly settings: DeploymentSettings;
  /** Latest changes, newest last, so that a change superseded by later ones can still be found. */
  readonly recentChanges?: readonly AcceptedChange[];
}

export interface AcceptedChange {
  readonly generation: Generation;
  readonly changeId: string;
}

/** Key files for mutual TLS between entry hosts, reloaded when they change. */
export interface TlsFileSettings {
  readonly kind: 'mutualTls';
  readonly certificateFile: string;
  readonly privateKeyFile: string;
  readonly authorityFile: string;
}

/** Plain text between entry hosts, accepted on loopback addresses only. */
export interface PlainLoopbackSettings {
  readonly kind: 'plainLoopback';
}

/** Settings of one entry host's process. */
export interface EntryHostSettings {
  readonly kind: 'entryHostSettings';
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly platformUrl: string;
  /**
   * Addresses of peers from which the configuration is requested at the start, besides the
   * platform.
   */
  readonly seedPeers: readonly string[];
  readonly peerSecurity: TlsFileSettings | PlainLoopbackSettings;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Memory that the process may use; the limit of the JavaScript heap if absent. */
  readonly memoryMegabytes?: number | undefined;
  /** Descriptors that the process may use; not limited if absent. */
  readonly maximumDescriptors?: number | undefined;
}

/** Severity of a diagnostic; an error keeps the answers from being used. */
export type DiagnosticCategory = 'error' | 'warning';

/** Message of one kind of mistake; `{name}` in the templates stands for an argument. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** What is wrong. */
  readonly template: string;
  /** What is allowed instead. */
  readonly allowed: string;
}

/** Mistake in the answers to the questionnaire, with its position in the file. */
export interface Diagnostic {
  readonly kind: 'diagnostic';
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly fileName: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
  /**
   * Path of the field, such as `places[0].entryHosts[1].callers`; empty when the diagnostic
   * concerns the whole file.
   */
  readonly field: string;
  readonly message: string;
  readonly allowed: string;
}

/** File of answers to the questionnaire. */
export interface QuestionnaireSource {
  /** Name of the file, for diagnostics only. */
  readonly fileName: string;
  /** Content of the file in YAML. */
  readonly text: string;
}

/** Result of a check: the settings, or every mistake found. */
export type CheckedQuestionnaire =
  | {
      readonly kind: 'valid';
      readonly settings: DeploymentSettings;
      /** Settings of each entry host, in the order of the answers. */
      readonly entryHosts: readonly EntryHostSettings[];
    }
  | { readonly kind: 'invalid'; readonly diagnostics: readonly Diagnostic[] };

/** Field of stored settings whose value is invalid. */
export interface SettingsProblem {
  readonly field: string;
  readonly detail: string;
}

/** Reason why settings from the store, a peer or a file cannot be used. */
export type SettingsError =
  | {
      readonly kind: 'unknownFormatVersion';
      readonly formatVersion: unknown;
      readonly supported: readonly number[];
    }
  | { readonly kind: 'invalidSettings'; readonly problems: readonly SettingsProblem[] };

/** Target that operators drain or restore. */
export type DrainTarget =
  | { readonly kind: 'failureDomain'; readonly id: FailureDomainId }
  | { readonly kind: 'entryHost'; readonly id: EntryHostId }
  | { readonly kind: 'backendServer'; readonly id: BackendServerId };

/** Change to the settings. */
export type SettingsChange =
  /** Accepted only on the configuration that it was based on; drained targets stay drained. */
  | { readonly kind: 'replaceSettings'; readonly settings: DeploymentSettings }
  | {
      readonly kind: 'drain';
      readonly target: DrainTarget;
      /** Id of the local drain that this change records, if any. */
      readonly localDrain?: string;
    }
  | {
      readonly kind: 'restore';
      readonly target: DrainTarget;
      /** Ids of the known local drains of the target, which end with the restore. */
      readonly localDrains?: readonly string[];
    };

/** Step on the path from settings to a value in them. */
export type SettingsStep =
  | { readonly kind: 'field'; readonly name: string }
  /** Entry of a list, by its id or name. */
  | { readonly kind: 'entry'; readonly id: string };

/** Difference between two settings at one path. */
export interface SettingsDifference {
  readonly kind: 'added' | 'removed' | 'changed' | 'reordered';
  /** Readable path, such as `customers[makers].weight`. */
  readonly path: string;
  readonly steps: readonly SettingsStep[];
  /** Undefined when added. */
  readonly before: unknown;
  /** Undefined when removed. When reordered: the ids in their new order. */
  readonly after: unknown;
}

/** Reason why a change was not accepted, or why its outcome is unknown. */
export type ChangeError =
  /**
   * Another change was accepted in the meantime; `differences` lead from the base to the current
   * settings.
   */
  | {
      readonly kind: 'changeConflict';
      readonly basedOn: Generation;
      readonly current: AcceptedConfiguration;
      readonly differences: readonly SettingsDifference[];
    }
  /** The change was not accepted. */
  | { readonly kind: 'storeUnavailable'; readonly error: StoreError }
  /** The outcome is unknown; applying the change again under the same id returns it. */
  | { readonly kind: 'changeOutcomeUnknown'; readonly changeId: string }
  | { readonly kind: 'unknownDrainTarget'; readonly target: DrainTarget }
  /**
   * The store holds an earlier generation than the active one, because it was restored from an old
   * copy. Nothing is written.
   */
  | {
      readonly kind: 'storeBehind';
      readonly storeGeneration: Generation;
      readonly knownGeneration: Generation;
    }
  /** There is no configuration to change yet. */
  | { readonly kind: 'noConfiguration' }
  | { readonly kind: 'unreadableConfiguration'; readonly error: SettingsError };

/** Change accepted by the store. */
export interface AppliedChange {
  readonly kind: 'accepted' | 'alreadyAccepted' | 'unchanged';
  /** Generation of the change; the current one when nothing had to change. */
  readonly generation: Generation;
  /** Configuration in the store now; later than `generation` when other changes followed. */
  readonly configuration: AcceptedConfiguration;
}

export interface ApplyChangeOptions {
  readonly store: ObjectStore;
  /** Configuration that the change is based on; undefined for the first one. */
  readonly current: AcceptedConfiguration | undefined;
  readonly change: SettingsChange;
  readonly author: string;
  /** Identifies the change across retries; random, at least 128 bits. */
  readonly changeId: string;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Drain requested at a host of a failure domain. It takes effect there at once and is recorded in
 * the store later.
 */
export interface LocalDrain {
  readonly id: string;
  readonly target: DrainTarget;
  readonly author: string;
}

/** Patch from one generation to another, a fraction of the size of the whole configuration. */
export interface ConfigurationPatch {
  readonly from: Generation;
  readonly to: Generation;
  /** Later configuration without its settings. */
  readonly header: Omit<AcceptedConfiguration, 'settings'>;
  readonly differences: readonly SettingsDifference[];
  /** Digest of the resulting settings. */
  readonly digest: string;
}

/** Messages about the configuration between entry hosts. */
export type ConfigurationPeerMessage =
  | {
      readonly kind: 'configurationAnnounced';
      readonly from: EntryHostId;
      readonly fromAddress: string;
      readonly generation: Generation;
    }
  | {
      readonly kind: 'configurationRequested';
      readonly from: EntryHostId;
      readonly fromAddress: string;
      /** Generation of the sender's active configuration; 0 when there is none. */
      readonly have: Generation;
    }
  | {
      readonly kind: 'configurationSent';
      readonly from: EntryHostId;
      readonly configuration: AcceptedConfiguration;
    }
  | {
      readonly kind: 'configurationPatched';
      readonly from: EntryHostId;
      readonly patch: ConfigurationPatch;
    }
  /** The sender has no later configuration than the requester. */
  | { readonly kind: 'configurationNotLater'; readonly from: EntryHostId }
  | {
      readonly kind: 'localDrainsTold';
      readonly from: EntryHostId;
      readonly drains: readonly LocalDrain[];
    };

/** Another entry host, as the replica addresses it. */
export interface ConfigurationPeer {
  readonly entryHost: EntryHostId;
  readonly address: string;
}

export type ConfigurationMessage =
  /** Object of the configuration in the store; undefined when there is none. */
  | { readonly kind: 'storeOffered'; readonly value: unknown }
  | { readonly kind: 'storeFailed' }
  | { readonly kind: 'peerMessageReceived'; readonly message: ConfigurationPeerMessage }
  | {
      readonly kind: 'laterGenerationSeen';
      readonly entryHost: EntryHostId;
      readonly address: string;
      readonly generation: Generation;
    }
  /** Live entry hosts of this failure domain, without this one. */
  | {
      readonly kind: 'peersChanged';
      readonly peers: readonly ConfigurationPeer[];
      readonly isDelegate: boolean;
    }
  | { readonly kind: 'localDrainRequested'; readonly drain: LocalDrain }
  | { readonly kind: 'timePassed' };

export type ConfigurationEffect =
  | {
      readonly kind: 'sendToPeer';
      readonly entryHost: EntryHostId;
      readonly address: string;
      readonly message: ConfigurationPeerMessage;
    }
  /** The active settings have changed, by a later configuration or a local drain. */
  | {
      readonly kind: 'settingsInForce';
      readonly generation: Generation;
      readonly settings: DeploymentSettings;
    }
  | { readonly kind: 'readStore' }
  | { readonly kind: 'watchStore'; readonly watching: boolean }
  | { readonly kind: 'recordLocalDrain'; readonly drain: LocalDrain }
  /** The store or a peer sent a configuration that cannot be used; the active one stays. */
  | { readonly kind: 'offerRejected'; readonly error: SettingsError };

/** Configuration state of this entry host. */
export interface ConfigurationStatus {
  /** False until a configuration is active. */
  readonly ready: boolean;
  readonly activeConfiguration: AcceptedConfiguration | undefined;
  /** Active settings, local drains included. */
  readonly settings: DeploymentSettings | undefined;
  /** Highest generation known to exist; the configuration itself may not have arrived yet. */
  readonly highestGenerationSeen: Generation;
  /** Local drains not yet recorded in the store. */
  readonly localDrains: readonly LocalDrain[];
}

/**
 * Decides which configuration is active at one entry host. Its only side effects are on its own
 * state.
 */
export interface ConfigurationReplica {
  handle(message: ConfigurationMessage, now: Milliseconds): readonly ConfigurationEffect[];
  getNextWakeUp(now: Milliseconds): Milliseconds;
  status(): ConfigurationStatus;
}

/** Timeouts, intervals and sizes of the replica; each has a default. */
export interface ConfigurationPolicy {
  /**
   * How long a starting host waits for all answers, from its first request, before it selects among
   * those received.
   */
  readonly startTimeout: Milliseconds;
  /** How long a request for a later configuration waits before the next source is asked. */
  readonly fetchTimeout: Milliseconds;
  /** Time between two rounds of requests while a starting host has no configuration. */
  readonly retryInterval: Milliseconds;
  /** Time between two attempts to record local drains and to send them to peers. */
  readonly recordInterval: Milliseconds;
  /** Number of configurations kept to send patches to peers. */
  readonly historyLength: number;
}

export interface ConfigurationReplicaOptions {
  readonly entryHost: EntryHostId;
  /** Address of this host for other entry hosts, as host:port. */
  readonly address: string;
  /** Entry hosts from which the configuration is requested at the start. */
  readonly seeds: readonly ConfigurationPeer[];
  readonly startedAt: Milliseconds;
  readonly policy?: Partial<ConfigurationPolicy>;
}

/** Propagation of an accepted configuration to the entry hosts. */
export interface PropagationSummary {
  readonly acceptedGeneration: Generation;
  /**
   * Number of hosts on which it, or a later one, is active by the latest reports of their
   * delegates.
   */
  readonly hostsInForce: number;
  /** Number of hosts that the settings name. */
  readonly hostsKnown: number;
  readonly domains: readonly DomainPropagationSummary[];
}

export interface DomainPropagationSummary {
  readonly failureDomain: FailureDomainId;
  readonly hostsInForce: number;
  readonly hostsKnown: number;
  /** Age of the latest report; undefined when none has been received. */
  readonly age: Milliseconds | undefined;
}

/** Local drains that are not recorded yet; internal to the library. */
export interface LocalDrains {
  /** Adds drains that are new and not recorded in the settings; returns whether there were any. */
  add(drains: readonly LocalDrain[], settings: DeploymentSettings | undefined): boolean;
  /** Removes the drains that the settings have recorded. */
  removeRecorded(settings: DeploymentSettings): void;
  list(): readonly LocalDrain[];
  applyTo(settings: DeploymentSettings): DeploymentSettings;
}

/** Configurations that have been active; internal to the library. */
export interface ConfigurationHistory {
  push(configuration: AcceptedConfiguration): void;
  /**
   * Returns the patch from an earlier generation to the latest, or undefined when the earlier one
   * is not kept.
   */
  tryGetPatch(from: Generation): ConfigurationPatch | undefined;
}

/** Fetches later configurations from peers; internal to the library. */
export interface ConfigurationFetcher {
  addSource(generation: Generation, source: ConfigurationPeer): void;
  /** Returns the next source to ask, when a request is due. */
  tryGetDueSource(activeGeneration: Generation, now: Milliseconds): ConfigurationPeer | undefined;
  tryGetSource(entryHost: EntryHostId): ConfigurationPeer | undefined;
  /** Removes a source that has nothing later; the next one is asked at once. */
  removeSource(entryHost: EntryHostId): void;
  dueAt(): Milliseconds | undefined;
  targetGeneration(): Generation;
}

/** Selects a starting host's first configuration; internal to the library. */
export interface InitialConfigurationSelector {
  recordRequests(peers: readonly EntryHostId[], now: Milliseconds): void;
  recordStoreAnswer(): void;
  recordPeerAnswer(peer: EntryHostId): void;
  addCandidate(configuration: AcceptedConfiguration): void;
  /** Returns the initial configuration once it may be selected. */
  trySelect(now: Milliseconds): AcceptedConfiguration | undefined;
}

/** Active configuration of this entry host; internal to the library. */
export interface ActiveConfiguration {
  tryGet(): AcceptedConfiguration | undefined;
  /** Active settings, local drains included. */
  tryGetSettings(): DeploymentSettings | undefined;
  /** Returns the active generation; 0 when there is none. */
  generation(): Generation;
  adopt(configuration: AcceptedConfiguration): void;
  /** Adds local drains and returns whether one of them was new. */
  addLocalDrains(drains: readonly LocalDrain[]): boolean;
}

/** Sends messages about the configuration to peers; internal to the library. */
export interface PeerSender {
  announce(receivers: readonly ConfigurationPeer[]): void;
  answer(requester: ConfigurationPeer, peerGeneration: Generation): void;
  request(peer: ConfigurationPeer, activeGeneration: Generation): void;
  sendLocalDrains(receivers: readonly ConfigurationPeer[]): void;
}

/** Listener of a configuration task's events. */
export interface ConfigurationTaskListener {
  onSend(effect: Extract<ConfigurationEffect, { readonly kind: 'sendToPeer' }>): void;
  onSettings(effect: Extract<ConfigurationEffect, { readonly kind: 'settingsInForce' }>): void;
  /** Called when the store or a peer sent a configuration that cannot be used. */
  onRejected?(error: SettingsError): void;
  /**
   * Called when a local drain could not be recorded yet; it stays active and recording is retried.
   */
  onRecordFailed?(localDrain: string, error: ChangeError): void;
}

/** Request to a task for a change, based on the active configuration unless `basedOn` is given. */
export interface ChangeRequest {
  readonly change: SettingsChange;
  readonly author: string;
  readonly changeId: string;
  readonly basedOn?: AcceptedConfiguration;
}

/** Maintains the configuration of one entry host, including its access to the store. */
export interface ConfigurationTask {
  /** Handles messages of peers and of the membership; the task's own timer sends `timePassed`. */
  handle(message: ConfigurationMessage): void;
  apply(request: ChangeRequest): Promise<Outcome<AppliedChange, ChangeError>>;
  status(): ConfigurationStatus;
  close(): void;
}
