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
export interface OccupiedSlot {
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
  readonly prefillBacklogTokens: number;
  readonly streamsAtGrant: number;
  readonly expectedCachedTokens: number;
  readonly expectedFirstTokenAfter: Milliseconds;
  /** When a first token that has not come keeps further grants back. */
  readonly lateAt: Milliseconds;
  /** When a first token that has not come means that the backend server has turned cold. */
  overdueAt: Milliseconds;
  /** Integral of the streams at the backend server when the first token came. */
  streamTimeAtFirstToken: number;
  firstTokenAt: Milliseconds | undefined;
  /** The grant as last sent; undefined for a slot learnt from an entry host's report. */
  grant: Grant | undefined;
}

/** What one finished request says about its backend server. */
export interface ReleaseSample {
  readonly outcome: ReleaseOutcome;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
}

/** Expected times of one backend server at one moment of what was learnt. */
export interface ReferenceSpeed {
  /** Expected time to the first token with `prefillTokens` to compute. */
  firstTokenAfter(prefillTokens: number): Milliseconds;
  /** Expected time between tokens with `streams` running. */
  tokenTime(streams: number): Milliseconds;
}

/** Learnt speed of one backend server. */
export interface SpeedModel {
  /** Whether enough has been seen to refuse on its word. */
  readonly hasEnoughSamples: boolean;
  readonly lastSampleAt: Milliseconds;
  /** Expected time to the first token with `prefillTokens` to compute. */
  firstTokenAfter(prefillTokens: number): Milliseconds;
  /** Expected time to compute `tokens` more of prompts. */
  prefillTime(tokens: number): Milliseconds;
  /** Expected time between tokens with `streams` running. */
  tokenTime(streams: number): Milliseconds;
  /** Takes a measured time to the first token; returns it over the best of late, like for like. */
  addFirstTokenSample(prefillTokens: number, measured: Milliseconds, now: Milliseconds): number;
  /** Takes the mean time between `tokens` tokens. */
  addTokenTimeSample(streams: number, tokens: number, measured: Milliseconds): void;
  /** What is expected now, unmoved by later samples. */
  snapshot(): ReferenceSpeed;
  /** Lets the next samples outweigh old ones after a step in speed. */
  discountHistory(): void;
}

/** One first token as the bound on streams sees it. */
export interface FirstTokenSample {
  readonly grantedAt: Milliseconds;
  /** Streams running when it came. */
  readonly streams: number;
  /** Time to the first token over the best of late, like for like. */
  readonly slowness: number;
}

/** Bound on the streams of one backend server. */
export interface StreamLimit {
  readonly current: number;
  readonly isSlowStart: boolean;
  recordFirstToken(sample: FirstTokenSample, now: Milliseconds): void;
  /** The engine queues or slows down beyond what its speed explains. */
  recordCongestion(now: Milliseconds): void;
  /** Falls back to the bound of a cold backend server. */
  restartSlowStart(now: Milliseconds): void;
  /** Raises the bound of slow start to what is known to be running already. */
  raiseTo(streams: number): void;
  setMaximum(maximumStreams: number): void;
}

/** Verdict of the health monitor after a sample. */
export type HealthAssessment = 'good' | 'suspect' | 'cold' | 'bad';

/** Errors, silence and steps of latency of one backend server. */
export interface HealthMonitor {
  /** Share of recent requests that failed. */
  readonly failureShare: number;
  recordOutcome(outcome: ReleaseOutcome): HealthAssessment;
  /** Takes the slowness of one first token. */
  recordSlowness(slowness: number): HealthAssessment;
  reset(): void;
}

/** Prefixes believed to be in one backend server's cache. */
export interface PrefixIndex {
  /** Tokens of the prompt expected to be found, discounted by how far the index is trusted. */
  estimateCachedTokens(hashes: readonly string[], promptTokens: number): number;
  /** Takes a change of the cache; true when it shows that the cache was lost. */
  applyChange(sequence: number, added: readonly string[], removed: readonly string[]): boolean;
  /** The prefixes of a prompt that has just been computed. */
  addComputed(hashes: readonly string[]): void;
  /** Compares what was expected with what the engine reported. */
  adjustConfidence(expectedTokens: number, cachedTokens: number): void;
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
  consecutiveEjections: number;
  memoryTokens: number;
  readonly inFlight: Map<RequestId, OccupiedSlot>;
  /** Slots whose first token has not come, oldest first. */
  readonly awaitingFirstToken: Set<OccupiedSlot>;
  /** When the oldest pending first token is late. */
  lateAt: Milliseconds;
  /** When the oldest pending first token is overdue. */
  overdueAt: Milliseconds;
  reservedTokens: number;
  prefillTokens: number;
  /** Streams that the last load report shows beyond those known here. */
  unaccountedStreams: number;
  /** Times of the latest releases, newest last. */
  readonly recentReleaseTimes: Milliseconds[];
  /** Integral of the streams over time, for mean concurrency. */
  streamTime: number;
  streamTimeUpdatedAt: Milliseconds;
  speed: SpeedModel;
  /** Speed under the version before the present one; undefined when none was learnt. */
  previousVersionSpeed: ReferenceSpeed | undefined;
  /** Whether its version has changed since it was first seen. */
  hasChangedVersion: boolean;
  readonly streamLimit: StreamLimit;
  readonly health: HealthMonitor;
  readonly prefixes: PrefixIndex;
}
