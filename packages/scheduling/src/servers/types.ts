/** Records of what the scheduler knows about its backend servers. */
import type {
  BackendServerId,
  Milliseconds,
  RequestId,
  TierRank,
  VersionId,
} from '@rattanreel/core';
import type {
  BackendServerStanding,
  EntryHostIncarnation,
  Grant,
  PoolBackendServer,
  ReleaseOutcome,
} from '../types';

/** One slot in use. */
export interface InFlight {
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly backendServer: BackendServerId;
  readonly version: VersionId;
  readonly route: string;
  readonly tier: TierRank;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** Memory set aside for the prompt and the answer. */
  readonly reservedTokens: number;
  readonly prefixHashes: readonly string[];
  readonly grantedAt: Milliseconds;
  /** Prompt tokens still to be computed; 0 once the first token is out. */
  prefillTokens: number;
  /** Prompt tokens that were to be computed before its first token, its own included. */
  readonly prefillAhead: number;
  readonly streamsAtGrant: number;
  readonly expectedCachedTokens: number;
  readonly expectedFirstTokenAfter: Milliseconds;
  /** Integral of the streams at the backend server when the first token came. */
  streamTimeAtFirstToken: number;
  firstTokenAt: Milliseconds | undefined;
  /** The grant as sent; undefined for a slot learnt from an entry host's report. */
  readonly grant: Grant | undefined;
}

/** What one finished request says about its backend server. */
export interface ReleaseSample {
  readonly outcome: ReleaseOutcome;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
}

/** Learnt speed of one backend server. */
export interface SpeedModel {
  /** Whether enough has been seen to refuse on its word. */
  readonly isLearnt: boolean;
  /** Expected time to the first token with `prefillTokens` to compute and `streams` running. */
  firstTokenAfter(prefillTokens: number, streams: number): Milliseconds;
  /** Expected time between tokens with `streams` running. */
  tokenTime(streams: number): Milliseconds;
  /** Takes a measured first token; returns measured over expected. */
  learnFirstToken(prefillTokens: number, streams: number, measured: Milliseconds): number;
  /** Takes a measured mean time between tokens; returns measured over expected. */
  learnTokenTime(streams: number, tokens: number, measured: Milliseconds): number;
  /** Lets new samples outweigh old ones after a step in speed. */
  forget(): void;
}

/** Bound on the streams of one backend server. */
export interface StreamLimit {
  readonly current: number;
  readonly isSlowStart: boolean;
  /** A request went well while `streams` were running. */
  succeeded(streams: number): void;
  /** The engine queues or slows down beyond what its speed explains. */
  congested(now: Milliseconds): void;
  /** Falls back to the bound of a cold backend server. */
  restart(): void;
  /** Raises the bound of slow start to what is known to be running already. */
  admitKnown(streams: number): void;
  setMaximum(maximumStreams: number): void;
}

/** Verdict of the health monitor after a sample. */
export type HealthVerdict = 'good' | 'cold' | 'bad';

/** Errors, silence and steps of latency of one backend server. */
export interface HealthMonitor {
  /** Share of recent requests that failed. */
  readonly failureShare: number;
  finished(outcome: ReleaseOutcome): HealthVerdict;
  /** Takes measured over expected latency. */
  measured(ratio: number): HealthVerdict;
  reset(): void;
}

/** Prefixes believed to be in one backend server's cache. */
export interface PrefixIndex {
  /** Tokens of the prompt expected to be found, discounted by how far the index is trusted. */
  expectedTokens(hashes: readonly string[], promptTokens: number): number;
  changed(sequence: number, added: readonly string[], removed: readonly string[]): void;
  /** The prefixes of a prompt that has just been computed. */
  computed(hashes: readonly string[]): void;
  /** Compares what was expected with what the engine reported. */
  verified(expectedTokens: number, cachedTokens: number): void;
  clear(): void;
}

/** All that is known of one backend server. */
export interface BackendServer {
  settings: PoolBackendServer;
  version: VersionId;
  incarnation: string | undefined;
  ready: boolean;
  leaving: boolean;
  standing: BackendServerStanding;
  /** When an ejected backend server is probed. */
  probeAt: Milliseconds | undefined;
  /** Ejections in a row; lengthens the next. */
  ejections: number;
  memoryTokens: number;
  readonly inFlight: Map<RequestId, InFlight>;
  reservedTokens: number;
  prefillTokens: number;
  /** Streams that the last load report shows beyond those known here. */
  unknownStreams: number;
  /** Times of the latest releases, newest last. */
  readonly recentReleases: Milliseconds[];
  /** Integral of the streams over time, for mean concurrency. */
  streamTime: number;
  streamTimeAt: Milliseconds;
  speed: SpeedModel;
  readonly limit: StreamLimit;
  readonly health: HealthMonitor;
  readonly prefixes: PrefixIndex;
}
