/** State of the scheduler's backend servers. */
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

/** One occupied slot. */
export interface OccupiedSlot {
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly backendServer: BackendServerId;
  readonly version: VersionId;
  readonly route: string;
  readonly tier: TierRank;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** Memory reserved for the prompt and the answer. */
  readonly reservedTokens: number;
  readonly prefixHashes: readonly string[];
  readonly grantedAt: Milliseconds;
  /** Prompt tokens still to be computed; 0 once the first token has arrived. */
  prefillTokens: number;
  /**
   * Prompt tokens to be computed before the slot's first token when it was granted, its own
   * included.
   */
  readonly prefillBacklogTokens: number;
  readonly streamsAtGrant: number;
  readonly expectedCachedTokens: number;
  readonly expectedFirstTokenAfter: Milliseconds;
  /** Time from which a missing first token blocks further grants to the backend server. */
  readonly lateAt: Milliseconds;
  /** Time from which a missing first token indicates that the backend server is cold. */
  overdueAt: Milliseconds;
  /** `streamTime` of the backend server when the first token arrived. */
  streamTimeAtFirstToken: number;
  firstTokenAt: Milliseconds | undefined;
  /** The grant as last sent; undefined for a slot added from an entry host's report. */
  grant: Grant | undefined;
}

/** Measurements of one finished request at its backend server. */
export interface ReleaseSample {
  readonly outcome: ReleaseOutcome;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
}

/** Expected times of one backend server, with which measured times are compared. */
export interface ReferenceSpeed {
  /** Expected time to the first token with `prefillTokens` to compute. */
  predictFirstTokenAfter(prefillTokens: number): Milliseconds;
  /** Expected time between tokens with `streams` running. */
  predictTokenTime(streams: number): Milliseconds;
}

/** Speed of one backend server, estimated from samples. */
export interface SpeedModel {
  /** Whether there are enough samples to reject a backend server because of its estimates. */
  readonly hasEnoughSamples: boolean;
  readonly lastSampleAt: Milliseconds;
  /** Expected time to the first token with `prefillTokens` to compute. */
  predictFirstTokenAfter(prefillTokens: number): Milliseconds;
  /** Expected time to compute `tokens` additional prompt tokens. */
  predictPrefillTime(tokens: number): Milliseconds;
  /** Expected time between tokens with `streams` running. */
  predictTokenTime(streams: number): Milliseconds;
  /**
   * Adds a measured time to the first token and returns its slowness: its ratio to the best recent
   * time for the same number of prompt tokens. The first sample, also after `discountHistory`, has
   * slowness 1.
   */
  addFirstTokenSample(prefillTokens: number, measured: Milliseconds, now: Milliseconds): number;
  /** Adds the measured mean time between `tokens` tokens. */
  addTokenTimeSample(streams: number, tokens: number, measured: Milliseconds): void;
  /** Returns the current estimates, unaffected by later samples. */
  snapshot(): ReferenceSpeed;
  /** Gives the next samples more weight than older ones after an abrupt change of speed. */
  discountHistory(): void;
}

/** One first token as a sample for the stream limit. */
export interface FirstTokenSample {
  readonly grantedAt: Milliseconds;
  /** Streams running when the token arrived. */
  readonly streams: number;
  /**
   * Ratio of the time to the first token to the best recent one, as returned by
   * `SpeedModel.addFirstTokenSample`.
   */
  readonly slowness: number;
}

/** Limit on the concurrent streams of one backend server. */
export interface StreamLimit {
  readonly current: number;
  readonly isSlowStart: boolean;
  recordFirstToken(sample: FirstTokenSample, now: Milliseconds): void;
  /** Lowers the limit: the engine queues requests, or a request has timed out. */
  recordCongestion(now: Milliseconds): void;
  /** Resets the limit to that of a cold backend server. */
  restartSlowStart(now: Milliseconds): void;
  /** Raises the limit to the number of streams known to be running already. */
  raiseTo(streams: number): void;
  setMaximum(maximumStreams: number): void;
}

/** Assessment by the health monitor after a sample. */
export type HealthAssessment = 'good' | 'suspect' | 'cold' | 'bad';

/** Tracks errors, timeouts and abrupt latency increases of one backend server. */
export interface HealthMonitor {
  /** Share of recent requests that failed. */
  readonly failureShare: number;
  recordOutcome(outcome: ReleaseOutcome): HealthAssessment;
  /** Records the slowness of one first token. */
  recordSlowness(slowness: number): HealthAssessment;
  reset(): void;
}

/** Prefixes expected to be in one backend server's cache. */
export interface PrefixIndex {
  /** Returns the prompt tokens expected in the cache, scaled by the confidence in the index. */
  estimateCachedTokens(hashes: readonly string[], promptTokens: number): number;
  /** Applies a change of the cache. Returns true when the change shows that the cache was lost. */
  applyChange(sequence: number, added: readonly string[], removed: readonly string[]): boolean;
  /** Adds the prefixes of a prompt that has just been computed. */
  addComputed(hashes: readonly string[]): void;
  /**
   * Adjusts the confidence in the index by comparing the expected cached tokens with those that the
   * engine reported.
   */
  adjustConfidence(expectedTokens: number, cachedTokens: number): void;
  clear(): void;
}

/** State of one backend server as known to the scheduler. */
export interface BackendServer {
  settings: PoolBackendServer;
  version: VersionId;
  incarnation: string | undefined;
  ready: boolean;
  leaving: boolean;
  standing: BackendServerStanding;
  /** When an ejected backend server is to be probed; undefined when no probe is due. */
  probeAt: Milliseconds | undefined;
  /** Ejections without a return to `serving` in between; each one lengthens the next. */
  consecutiveEjections: number;
  memoryTokens: number;
  readonly inFlight: Map<RequestId, OccupiedSlot>;
  /** Slots whose first token has not arrived, oldest first. */
  readonly awaitingFirstToken: Set<OccupiedSlot>;
  /** When the oldest pending first token is late. */
  lateAt: Milliseconds;
  /** When the oldest pending first token is overdue. */
  overdueAt: Milliseconds;
  reservedTokens: number;
  prefillTokens: number;
  /** Streams in the last load report beyond those known to this scheduler. */
  unaccountedStreams: number;
  /** Times of the latest releases, newest last. */
  readonly recentReleaseTimes: Milliseconds[];
  /** Integral of the number of streams over time, from which mean concurrency is computed. */
  streamTime: number;
  streamTimeUpdatedAt: Milliseconds;
  speed: SpeedModel;
  /** Speed under the previous version; undefined when there was none or it had too few samples. */
  previousVersionSpeed: ReferenceSpeed | undefined;
  /** Whether its version has changed since it was first seen. */
  hasChangedVersion: boolean;
  readonly streamLimit: StreamLimit;
  readonly health: HealthMonitor;
  readonly prefixes: PrefixIndex;
}
