/** Settings of a deployment, as generated from the questionnaire, and of one entry host's process. */
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

/** A tier of requests; the order in the settings is the order of importance. */
export interface TierSettings {
  readonly id: string;
  /** Deadline for the first token, or for the whole answer of a plain service. */
  readonly firstTokenMilliseconds: Milliseconds;
  /** Deadline between tokens. */
  readonly betweenTokensMilliseconds: Milliseconds;
  /** Deadline for the whole answer when the caller states none. */
  readonly defaultDeadlineMilliseconds: Milliseconds;
}

export interface CustomerSettings {
  readonly id: CustomerId;
  /** Share of a tier's capacity relative to the other customers'. */
  readonly weight: number;
  /** The highest tier that this customer's requests may ask for. */
  readonly tier: string;
  /** SHA-256 of each API key in hexadecimal. */
  readonly apiKeyHashes: readonly string[];
}

export interface EntryHostAddress {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  /** Address for callers, host:port. */
  readonly callerAddress: string;
  /** Address for other entry hosts, host:port. */
  readonly peerAddress: string;
}

export interface FailureDomainSettings {
  readonly id: FailureDomainId;
  readonly region: string;
}

/** A group of model engines. */
export interface ModelPoolSettings {
  readonly kind: 'model';
  readonly id: PoolId;
  readonly model: string;
  readonly versions: readonly VersionId[];
  /** The version that serves when no move is under way. */
  readonly currentVersion: VersionId;
}

/** One call of a plain service, matched by method and path prefix. */
export interface ServiceRouteSettings {
  readonly method: string;
  readonly pathPrefix: string;
  /** Whether the call may be repeated; one that may not runs at most once. */
  readonly repeatable: boolean;
  /** Tier of the route where it is not the customer's. */
  readonly tier?: string;
}

/** A group of instances of one plain service. */
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
  /** Version that it is expected to serve until it reports another. */
  readonly version: VersionId;
  /** Whether it refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Room for tokens of running requests; a service counts one token a call. */
  readonly memoryTokens: number;
  /** Most requests that it may run at once. */
  readonly maximumStreams: number;
}

export type AdministratorRole = 'viewer' | 'operator';

export interface AdministratorSettings {
  readonly name: string;
  readonly role: AdministratorRole;
  /** SHA-256 of the token in hexadecimal. */
  readonly tokenHash: string;
}

/** What operators have taken out of service. */
export interface DrainedSettings {
  readonly failureDomains: readonly FailureDomainId[];
  readonly entryHosts: readonly EntryHostId[];
  readonly backendServers: readonly BackendServerId[];
  /** Local drains that this object has taken in, or that a restore has settled; newest last. */
  readonly recordedLocalDrains?: readonly string[];
}

/** The settings of a whole deployment. */
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

/** A configuration as it was accepted: the generation only grows. */
export interface AcceptedConfiguration {
  readonly kind: 'acceptedConfiguration';
  readonly generation: Generation;
  /** Identifies the change, so that its author can settle a lost answer by reading it back. */
  readonly changeId: string;
  readonly author: string;
  /** ISO 8601 wall time at the author's host; for people only. */
  readonly acceptedAt: string;
  readonly settings: DeploymentSettings;
  /** The latest changes, newest last, so that an overtaken change can still be found. */
  readonly recentChanges?: readonly AcceptedChange[];
}

export interface AcceptedChange {
  readonly generation: Generation;
  readonly changeId: string;
}

/** Key files for mutual TLS between entry hosts; reloaded when they change. */
export interface TlsFileSettings {
  readonly kind: 'mutualTls';
  readonly certificateFile: string;
  readonly privateKeyFile: string;
  readonly authorityFile: string;
}

/** Plain text between entry hosts; accepted on loopback addresses only. */
export interface PlainLoopbackSettings {
  readonly kind: 'plainLoopback';
}

/** The settings of one entry host's process. */
export interface EntryHostSettings {
  readonly kind: 'entryHostSettings';
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly platformUrl: string;
  /** Addresses of peers to ask for the configuration when the platform does not answer. */
  readonly seedPeers: readonly string[];
  readonly peerSecurity: TlsFileSettings | PlainLoopbackSettings;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
}

/** Whether a diagnostic keeps the answers from being used. */
export type DiagnosticCategory = 'error' | 'warning';

/** One kind of mistake: `{name}` in the templates stands for an argument. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** What was wrong. */
  readonly template: string;
  /** What is allowed instead. */
  readonly allowed: string;
}

/** A mistake in the answers to the questionnaire, with its place in the file. */
export interface Diagnostic {
  readonly kind: 'diagnostic';
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly fileName: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
  /** Path of the field, such as `places[0].entryHosts[1].callers`; empty for the whole file. */
  readonly field: string;
  readonly message: string;
  readonly allowed: string;
}

/** A file of answers to the questionnaire. */
export interface QuestionnaireSource {
  /** Name of the file, for diagnostics only. */
  readonly fileName: string;
  /** YAML. */
  readonly text: string;
}

/** The outcome of a check: settings, or every mistake found. */
export type CheckedQuestionnaire =
  | {
      readonly kind: 'valid';
      readonly settings: DeploymentSettings;
      /** One for each entry host, in the order of the answers. */
      readonly entryHosts: readonly EntryHostSettings[];
    }
  | { readonly kind: 'invalid'; readonly diagnostics: readonly Diagnostic[] };

/** One field of stored settings that does not have the form expected. */
export interface SettingsProblem {
  readonly field: string;
  readonly detail: string;
}

/** Why settings read back from the store, from a peer or from a file are not usable. */
export type SettingsError =
  | {
      readonly kind: 'unknownFormatVersion';
      readonly formatVersion: unknown;
      readonly supported: readonly number[];
    }
  | { readonly kind: 'invalidSettings'; readonly problems: readonly SettingsProblem[] };

/** The parts of a `host:port`. */
export type ParsedAddress =
  | { readonly kind: 'address'; readonly host: string; readonly port: number }
  | { readonly kind: 'invalidAddress' }
  | { readonly kind: 'invalidPort' };

/** What operators take out of service or bring back. */
export type DrainTarget =
  | { readonly kind: 'failureDomain'; readonly id: FailureDomainId }
  | { readonly kind: 'entryHost'; readonly id: EntryHostId }
  | { readonly kind: 'backendServer'; readonly id: BackendServerId };

/** A change of the settings. */
export type SettingsChange =
  /** Conditional on the configuration that it was based on; what is drained stays so. */
  | { readonly kind: 'replaceSettings'; readonly settings: DeploymentSettings }
  | {
      readonly kind: 'drain';
      readonly target: DrainTarget;
      /** The local drain that this change records, if it does. */
      readonly localDrain?: string;
    }
  | {
      readonly kind: 'restore';
      readonly target: DrainTarget;
      /** Local drains of the target that are known here; they end with it. */
      readonly localDrains?: readonly string[];
    };

/** One step from settings to a value in them. */
export type SettingsStep =
  | { readonly kind: 'field'; readonly name: string }
  /** An entry of a list by its id or name. */
  | { readonly kind: 'entry'; readonly id: string };

/** One place at which two settings differ. */
export interface SettingsDifference {
  readonly kind: 'added' | 'removed' | 'changed' | 'reordered';
  /** Readable path, such as `customers[makers].weight`. */
  readonly path: string;
  readonly steps: readonly SettingsStep[];
  /** Undefined when added. */
  readonly before: unknown;
  /** Undefined when removed; the ids in their new order when reordered. */
  readonly after: unknown;
}

/** Why a change was not accepted, or why that is not known. */
export type ChangeError =
  /** Another change was accepted since; `differences` lead from the base to what stands now. */
  | {
      readonly kind: 'changeConflict';
      readonly basedOn: Generation;
      readonly current: AcceptedConfiguration;
      readonly differences: readonly SettingsDifference[];
    }
  /** Certainly not accepted. */
  | { readonly kind: 'storeUnavailable'; readonly error: StoreError }
  /** Apply the change again under the same id to learn its outcome. */
  | { readonly kind: 'changeOutcomeUnknown'; readonly changeId: string }
  | { readonly kind: 'unknownDrainTarget'; readonly target: DrainTarget }
  /** The store holds less than is in force: it was restored from an old copy. Nothing is written. */
  | {
      readonly kind: 'storeBehind';
      readonly storeGeneration: Generation;
      readonly knownGeneration: Generation;
    }
  /** There is no configuration yet that could be changed. */
  | { readonly kind: 'noConfiguration' }
  | { readonly kind: 'unreadableConfiguration'; readonly error: SettingsError };

/** A change that stands in the store. */
export interface AppliedChange {
  readonly kind: 'accepted' | 'alreadyAccepted' | 'unchanged';
  /** Generation that the change got; the present one when nothing had to change. */
  readonly generation: Generation;
  /** What stands in the store now; later than `generation` when the change was overtaken. */
  readonly configuration: AcceptedConfiguration;
}

export interface ApplyChangeOptions {
  readonly store: ObjectStore;
  /** The configuration that the change is based on; undefined for the first one. */
  readonly current: AcceptedConfiguration | undefined;
  readonly change: SettingsChange;
  readonly author: string;
  /** Identifies the change over retries; random, at least 128 bits. */
  readonly changeId: string;
  readonly clock: Clock;
  readonly random: Random;
}

/** A drain told to a host of a failure domain, in force there at once and recorded later. */
export interface LocalDrain {
  readonly id: string;
  readonly target: DrainTarget;
  readonly author: string;
}

/** Leads from one generation to another in a fraction of the bytes of the whole. */
export interface ConfigurationPatch {
  readonly from: Generation;
  readonly to: Generation;
  /** The configuration without its settings. */
  readonly header: Omit<AcceptedConfiguration, 'settings'>;
  readonly differences: readonly SettingsDifference[];
  /** Digest of the settings that must result. */
  readonly digest: string;
}

/** What entry hosts say to each other about the configuration. */
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
      /** Generation in force at the sender; 0 when there is none. */
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
  /** The sender has nothing later than what was asked for. */
  | { readonly kind: 'configurationNotLater'; readonly from: EntryHostId }
  | {
      readonly kind: 'localDrainsTold';
      readonly from: EntryHostId;
      readonly drains: readonly LocalDrain[];
    };

/** Another entry host as the keeper addresses it. */
export interface ConfigurationPeer {
  readonly entryHost: EntryHostId;
  readonly address: string;
}

export type ConfigurationMessage =
  /** The store's object of the configuration; undefined when it holds none. */
  | { readonly kind: 'storeOffered'; readonly value: unknown }
  | { readonly kind: 'storeFailed' }
  | { readonly kind: 'peerMessageReceived'; readonly message: ConfigurationPeerMessage }
  | {
      readonly kind: 'laterGenerationSeen';
      readonly entryHost: EntryHostId;
      readonly address: string;
      readonly generation: Generation;
    }
  /** Live entry hosts of the own failure domain, without this one. */
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
  /** Settings in force have changed: a later configuration, or a local drain. */
  | {
      readonly kind: 'settingsInForce';
      readonly generation: Generation;
      readonly settings: DeploymentSettings;
    }
  | { readonly kind: 'readStore' }
  | { readonly kind: 'watchStore'; readonly watching: boolean }
  | { readonly kind: 'recordLocalDrain'; readonly drain: LocalDrain }
  /** Something offered a configuration that cannot be used; the one in force stays. */
  | { readonly kind: 'offerRejected'; readonly error: SettingsError };

/** What is in force at this entry host. */
export interface ConfigurationStatus {
  /** False until a configuration is in force. */
  readonly ready: boolean;
  readonly activeConfiguration: AcceptedConfiguration | undefined;
  /** The settings in force, local drains included. */
  readonly settings: DeploymentSettings | undefined;
  /** Highest generation heard of, which may not have arrived yet. */
  readonly highestGenerationSeen: Generation;
  /** Local drains that the store does not hold yet. */
  readonly localDrains: readonly LocalDrain[];
}

/** Decides which configuration is in force at one entry host. Pure but for its own state. */
export interface ConfigurationReplica {
  handle(message: ConfigurationMessage, now: Milliseconds): readonly ConfigurationEffect[];
  nextWakeUp(now: Milliseconds): Milliseconds;
  status(): ConfigurationStatus;
}

/** Times of the keeper; each has a default. */
export interface ConfigurationPolicy {
  /** How long a start waits for every answer once one has come. */
  readonly startTimeout: Milliseconds;
  /** Until the next source of a later configuration is asked. */
  readonly fetchTimeout: Milliseconds;
  /** Between two attempts of a start that nobody has answered. */
  readonly retryInterval: Milliseconds;
  /** Between two attempts to record local drains, and to tell peers of them. */
  readonly recordInterval: Milliseconds;
  /** Configurations kept so that peers can be sent differences. */
  readonly historyLength: number;
}

export interface ConfigurationReplicaOptions {
  readonly entryHost: EntryHostId;
  /** Address of this host for other entry hosts, host:port. */
  readonly address: string;
  /** Entry hosts to ask at the start. */
  readonly seeds: readonly ConfigurationPeer[];
  readonly startedAt: Milliseconds;
  readonly policy?: Partial<ConfigurationPolicy>;
}

/** How far an accepted configuration has come. */
export interface PropagationSummary {
  readonly acceptedGeneration: Generation;
  /** Hosts that have it, or a later one, in force by the latest word of their delegates. */
  readonly hostsInForce: number;
  /** Hosts that the settings name. */
  readonly hostsKnown: number;
  readonly domains: readonly DomainPropagationSummary[];
}

export interface DomainPropagationSummary {
  readonly failureDomain: FailureDomainId;
  readonly hostsInForce: number;
  readonly hostsKnown: number;
  /** Age of the word; undefined when none has come. */
  readonly age: Milliseconds | undefined;
}

/** Local drains not recorded yet; internal to the library. */
export interface LocalDrains {
  /** Adds drains that are new and not recorded in the settings; true when there were any. */
  add(drains: readonly LocalDrain[], settings: DeploymentSettings | undefined): boolean;
  /** Drops what the settings have recorded. */
  removeRecorded(settings: DeploymentSettings): void;
  list(): readonly LocalDrain[];
  applyTo(settings: DeploymentSettings): DeploymentSettings;
}

/** Configurations that were in force; internal to the library. */
export interface ConfigurationHistory {
  push(configuration: AcceptedConfiguration): void;
  /** The patch from an earlier generation to the latest; undefined when that one is not kept. */
  tryGetPatch(from: Generation): ConfigurationPatch | undefined;
}

/** Fetching of a later configuration; internal to the library. */
export interface ConfigurationFetcher {
  addSource(generation: Generation, source: ConfigurationPeer): void;
  /** The next source to ask, when one is due. */
  tryGetDueSource(activeGeneration: Generation, now: Milliseconds): ConfigurationPeer | undefined;
  tryGetSource(entryHost: EntryHostId): ConfigurationPeer | undefined;
  /** Forgets a source that has nothing later; the next one is asked at once. */
  removeSource(entryHost: EntryHostId): void;
  dueAt(): Milliseconds | undefined;
  targetGeneration(): Generation;
}

/** The choice of a starting host's first configuration; internal to the library. */
export interface InitialConfigurationSelector {
  recordRequests(peers: readonly EntryHostId[], now: Milliseconds): void;
  recordStoreAnswer(): void;
  recordPeerAnswer(peer: EntryHostId): void;
  addCandidate(configuration: AcceptedConfiguration): void;
  /** The configuration to begin with, once it may be chosen. */
  trySelect(now: Milliseconds): AcceptedConfiguration | undefined;
}

/** The configuration in force; internal to the library. */
export interface ActiveConfiguration {
  tryGet(): AcceptedConfiguration | undefined;
  /** The settings in force, local drains included. */
  tryGetSettings(): DeploymentSettings | undefined;
  /** Generation in force; 0 when there is none. */
  generation(): Generation;
  adopt(configuration: AcceptedConfiguration): void;
  /** True when one of the drains was new. */
  addLocalDrains(drains: readonly LocalDrain[]): boolean;
}

/** Messages to peers about the configuration; internal to the library. */
export interface PeerSender {
  announce(receivers: readonly ConfigurationPeer[]): void;
  answer(requester: ConfigurationPeer, peerGeneration: Generation): void;
  request(peer: ConfigurationPeer, activeGeneration: Generation): void;
  sendLocalDrains(receivers: readonly ConfigurationPeer[]): void;
}

/** What a configuration task tells its owner. */
export interface ConfigurationTaskListener {
  onSend(effect: Extract<ConfigurationEffect, { readonly kind: 'sendToPeer' }>): void;
  onSettings(effect: Extract<ConfigurationEffect, { readonly kind: 'settingsInForce' }>): void;
  /** The store or a peer offered something unusable. */
  onRejected?(error: SettingsError): void;
  /** A local drain could not be recorded yet; it stays in force and is tried again. */
  onRecordFailed?(localDrain: string, error: ChangeError): void;
}

/** A change asked of a task; based on the configuration in force unless it says otherwise. */
export interface ChangeRequest {
  readonly change: SettingsChange;
  readonly author: string;
  readonly changeId: string;
  readonly basedOn?: AcceptedConfiguration;
}

/** The configuration of one entry host, with its use of the store. */
export interface ConfigurationTask {
  /** Takes messages of peers and of the membership; the task's own timer sends `timePassed`. */
  handle(message: ConfigurationMessage): void;
  apply(request: ChangeRequest): Promise<Outcome<AppliedChange, ChangeError>>;
  status(): ConfigurationStatus;
  close(): void;
}
