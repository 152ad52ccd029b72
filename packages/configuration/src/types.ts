/** Settings of a deployment, as generated from the questionnaire, and of one entry host's process. */
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Generation,
  Milliseconds,
  PoolId,
  VersionId,
} from '@rattanreel/core';

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
