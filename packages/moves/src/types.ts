/** Types of moves: progressive rollouts that shift a pool's traffic from one version to another. */
import type {
  FailureDomainId,
  Generation,
  Milliseconds,
  PoolId,
  TierRank,
  VersionId,
} from '@rattanreel/core';
import type { LeaseState } from '@rattanreel/platform';
import type { VersionEvidence, VersionShare } from '@rattanreel/scheduling';

export type MoveVerdict = 'underWay' | 'done' | 'takenBack' | 'cancelled';

/** Why a version is rolled back. */
export type RollbackCause = 'errors' | 'slowFirstToken' | 'slowBetweenTokens' | 'operator';

export interface RollbackReason {
  readonly ground: RollbackCause;
  readonly route: string;
  readonly tier: TierRank;
  readonly failureDomain: FailureDomainId;
  readonly detail: string;
}

/** One step of a move's plan. */
export interface MoveStep {
  /** Share of the new version while the step is in force. */
  readonly share: number;
  /** Wall time, milliseconds since 1970, before which the step is not taken. */
  readonly notBefore: number;
}

/** The move object in the store; changed only by conditional update. */
export interface MoveRecord {
  readonly kind: 'move';
  readonly pool: PoolId;
  readonly from: VersionId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly startedAt: number;
  /** Wall time by which the new version must have full share. */
  readonly deadline: number;
  /** How long full share is observed before the move is done. */
  readonly bakeTime: Milliseconds;
  readonly steps: readonly MoveStep[];
  /** Index of the step in force; -1 before the first. */
  readonly step: number;
  /**
   * Steps up to this index may be taken by a failure domain on its own, without the controller or the store, if the
   * reports and the evidence of all failure domains allow it.
   */
  readonly preAuthorisedThrough: number;
  /** Grows with each change of the record. */
  readonly generation: Generation;
  readonly verdict: MoveVerdict;
  readonly takenBackBecause: RollbackReason | undefined;
  /** Set once the deadline can no longer be met. */
  readonly late: boolean;
  /** Lease generation of the controller that changed the record last; a lower one may not change it. */
  readonly controllerGeneration?: Generation;
  /** Wall time at which every reachable failure domain had confirmed full share. */
  readonly fullShareAt?: number;
}

/** Identifies one move; a later move of the same pool has a different start. */
export interface MoveIdentity {
  readonly pool: PoolId;
  readonly to: VersionId;
  readonly startedAt: number;
}

/** Why a move cannot be planned. */
export type MovePlanError =
  | { readonly kind: 'sameVersion'; readonly version: VersionId }
  /** `leastMilliseconds` is the shortest time from start to deadline that these options allow. */
  | { readonly kind: 'deadlineTooNear'; readonly leastMilliseconds: Milliseconds };

export interface MovePlanOptions {
  readonly pool: PoolId;
  readonly from: VersionId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly startedAt: number;
  /** Wall time by which the new version must have full share. */
  readonly deadline: number;
  readonly bakeTime: Milliseconds;
  /** Share of the first step if the traffic suffices for a test at that share. */
  readonly firstShare?: number;
  /** Factor between the odds of the shares of two successive steps, if time allows. */
  readonly oddsGrowthFactor?: number;
  /** Minimum time between two steps. */
  readonly minimumStepTime?: Milliseconds;
  /** Fraction of the time until the deadline that the plan keeps as a margin. */
  readonly deadlineMarginFraction?: number;
  /** Requests per second of the pool over all failure domains; raises the first share of a pool with little traffic. */
  readonly requestsPerSecond?: number;
  /** Whether failure domains may take the plan's steps on their own while controller or store is unavailable. */
  readonly outagePolicy?: OutagePolicy;
}

/** What happens to a move's share while the controller or the store is unavailable. */
export type OutagePolicy = 'hold' | 'preAuthorised';

/** A change of a move record. */
export type MoveChange =
  | { readonly kind: 'step'; readonly step: number; readonly controllerGeneration: Generation }
  | { readonly kind: 'late'; readonly controllerGeneration: Generation }
  | {
      readonly kind: 'fullShare';
      readonly at: number;
      readonly controllerGeneration: Generation;
    }
  | { readonly kind: 'done'; readonly controllerGeneration: Generation }
  /** Rolls the version back; any failure domain may do so without a lease. */
  | { readonly kind: 'takeBack'; readonly reason: RollbackReason }
  /** Cancels the move on behalf of an operator; any host may receive the request. */
  | { readonly kind: 'cancel' };

/** Why a change of a move record is refused. */
export type MoveChangeError =
  | { readonly kind: 'verdictFinal'; readonly verdict: MoveVerdict }
  | { readonly kind: 'staleController'; readonly generation: Generation }
  | { readonly kind: 'noEffect' };

/** A failure domain's decision that a move's new version receives no more traffic. */
export interface MoveVeto {
  readonly kind: 'moveVeto';
  readonly move: MoveIdentity;
  readonly reason: RollbackReason;
}

/** Finished requests on one route and tier since the step in force began. */
export interface CellEvidence {
  readonly route: string;
  readonly tier: TierRank;
  readonly newRequests: number;
  readonly oldRequests: number;
}

/** A failure domain's report about a move, sent about once a second. */
export interface DomainReport {
  readonly kind: 'domainReport';
  readonly move: MoveIdentity;
  readonly failureDomain: FailureDomainId;
  /** Generation of the record that the failure domain follows. */
  readonly generation: Generation;
  /** Index of the step in force there. */
  readonly step: number;
  /** Wall time of the failure domain since which the step has been in force. */
  readonly stepSince: number;
  readonly share: number;
  /** Requests of the old version in flight there. */
  readonly oldInFlight: number;
  /** The evidence points to a regression; no step is taken until it no longer does. */
  readonly suspicious: boolean;
  readonly vetoed: boolean;
  /** Share of the traffic there that the new version's backend servers can serve now. */
  readonly bearableShare: number;
  readonly cells: readonly CellEvidence[];
  /** Evidence of each traffic segment; empty when it is inconclusive and was reported recently. */
  readonly units: readonly SegmentEvidence[];
}

/** Significance level and tolerances of the regression tests. */
export interface RegressionTestPolicy {
  /** Maximum probability over a whole move that a version without a regression is rolled back. */
  readonly significanceLevel: number;
  /** Failure rate of the new version that is tolerated regardless of the old version's. */
  readonly toleratedFailureRate: number;
  /** Tolerated ratio of the new version's failure rate to the old version's. */
  readonly toleratedFailureRatio: number;
  /** Tolerated ratio of the new version's time to the first token to the old version's. */
  readonly toleratedFirstTokenRatio: number;
  /** Tolerated ratio of the new version's time between tokens to the old version's. */
  readonly toleratedBetweenTokensRatio: number;
  /** Number of first requests of the new version in a failure domain whose times are ignored: its engines are cold. */
  readonly warmUpRequests: number;
  /** Expected number of routes plus pairs of route and tier; further ones are tested with less power. */
  readonly expectedSegments: number;
}

export interface RegressionDetectorOptions {
  readonly from: VersionId;
  readonly to: VersionId;
  /** Number of failure domains that test the move; the significance level is divided among them. */
  readonly failureDomains: number;
  readonly policy?: Partial<RegressionTestPolicy>;
}

/** A regression of the new version and its cause. */
export interface DetectedRegression {
  readonly ground: RollbackCause;
  readonly route: string;
  readonly tier: TierRank;
  readonly detail: string;
}

/** Tests the new version of one move for regressions in one failure domain. */
export interface RegressionDetector {
  /** Adds one finished request; returns the regression once it is significant, and on every later call. */
  observe(evidence: VersionEvidence, now: Milliseconds): DetectedRegression | undefined;
  /** Tests this failure domain's evidence together with the evidence that the others last reported. */
  testJointly(others: readonly (readonly SegmentEvidence[])[]): DetectedRegression | undefined;
  /** Resets the request counts for a step with this share; the tests continue. */
  beginStep(share: number): void;
  /** Whether the evidence reaches the suspicion threshold, which is below the rejection threshold. */
  isSuspicious(): boolean;
  cells(): readonly CellEvidence[];
  segments(): readonly SegmentEvidence[];
}

/**
 * Values of the four tests of one segment: the test martingales, which start at 1, or the evidence. Both grow as the
 * evidence for a regression does.
 */
export interface TestStatistics {
  readonly failureRate: number;
  readonly failureRatio: number;
  readonly firstToken: number;
  readonly betweenTokens: number;
}

/** The traffic that is tested together: all traffic, one route, or one route and tier. */
export interface TrafficSegment {
  /** Undefined for all routes. */
  readonly route: string | undefined;
  /** Undefined for all tiers. */
  readonly tier: TierRank | undefined;
}

/** The test martingales of a segment as one failure domain reports them. */
export interface SegmentEvidence extends TrafficSegment, TestStatistics {}

/** One finished request as an observation for a segment's tests. */
export interface SegmentObservation {
  readonly isNew: boolean;
  readonly failed: boolean;
  /** Normalised logarithm; undefined without a time or a reference, or while the new version's engines are cold. */
  readonly firstToken: number | undefined;
  readonly betweenTokens: number | undefined;
  readonly isFullShare: boolean;
}

/** The tests of one traffic segment in one failure domain. */
export interface SegmentTests {
  readonly segment: TrafficSegment;
  /** Significance level of the test of one cause on this segment. */
  readonly significanceLevel: number;
  observe(observation: SegmentObservation, now: Milliseconds): void;
  evidence(): TestStatistics;
  martingales(): TestStatistics;
  newRequests(): number;
  oldRequests(): number;
  beginStep(): void;
}

/** An anytime-valid sequential test of the hypothesis "no worse than tolerated". */
export interface SequentialTest {
  /** Evidence against the hypothesis; under the hypothesis the probability of ever reaching `1 / p` is at most `p`. */
  readonly evidence: number;
  /** The evidence plus the unstaked part: a supermartingale that starts at 1 and may be multiplied over domains. */
  readonly martingale: number;
  /** Applies the likelihood ratios of one observation, one factor for each alternative. */
  update(factors: readonly number[]): void;
}

/** How much evidence the next step requires. */
export interface EvidencePolicy {
  /** Finished requests of the new version since the step began, over all failure domains. */
  readonly minimumRequests: number;
  /** The same on each route and tier; fewer where the old version's traffic predicts fewer. */
  readonly minimumCellRequests: number;
}

/** What the controller knows about a move when it decides on the next change. */
export interface MoveSituation {
  readonly record: MoveRecord;
  /** Fresh reports of all reachable failure domains; undefined when one is missing. */
  readonly freshReports: readonly DomainReport[] | undefined;
  /** Wall time at which the controller first saw the record's step. */
  readonly stepSince: number;
  /** Wall time. */
  readonly now: number;
  readonly policy: MovePolicy;
}

/** The next change of a move, or why there is none. */
export type MoveProgress =
  | { readonly kind: 'change'; readonly change: MoveChange }
  | { readonly kind: 'held'; readonly reason: HoldReason };

export type HoldReason =
  | 'notDue'
  | 'reportMissing'
  | 'suspicion'
  | 'stepTooYoung'
  | 'stepNotInForce'
  | 'tooLittleEvidence'
  | 'tooLittleCapacity'
  | 'oldTraffic'
  | 'baking';

/** The state of one move in one failure domain. */
export interface FollowedMove {
  readonly record: () => MoveRecord;
  /** Returns the change of the record that the failure domain requests. */
  decideChange(record: MoveRecord): MoveChange | undefined;
  updateRecord(record: MoveRecord, now: number): readonly MoveGuardEffect[];
  observe(evidence: VersionEvidence, now: number): readonly MoveGuardEffect[];
  applyVeto(veto: MoveVeto, now: number): readonly MoveGuardEffect[];
  cancel(request: CancelRequested, now: number): readonly MoveGuardEffect[];
  /** Takes a pre-authorised step if the other failure domains' reports allow it. */
  stepLocally(freshReports: readonly DomainReport[], now: number): readonly MoveGuardEffect[];
  /** Tests the evidence of all failure domains jointly. */
  testJointly(freshReports: readonly DomainReport[], now: number): readonly MoveGuardEffect[];
  /** Stores the counts of the pool's scheduler. */
  updateCounts(update: OldTrafficCounted | CapacityCounted): void;
  /** Returns the shares for the scheduler if they differ from the last ones. */
  refreshShares(now: number): readonly MoveGuardEffect[];
  shares(): readonly VersionShare[];
  createReport(): DomainReport;
  veto(): MoveVeto | undefined;
}

/** Holds the newest known record and writes changes to it, one call at a time. */
export interface RecordWriter {
  stored(): StoredMove | undefined;
  /** Stores a record that was seen; false when it is not newer than the known one. */
  applyIfNewer(stored: StoredMove): boolean;
  /** Handles the answer to the last call; true when it contained a newer record. */
  handleAnswer(answer: RecordAnswer, now: number): boolean;
  /** Returns the next call towards the change that `decide` returns, if a call is allowed now. */
  advanceTowards(
    decide: (record: MoveRecord) => MoveChange | undefined,
    now: number,
  ): readonly RecordEffect[];
}

/** A record as the store holds it. */
export interface StoredMove {
  readonly record: MoveRecord;
  /** Version of the object in the store, for conditional updates. */
  readonly version: number;
}

/** The store's answer to a write or a read of the record. */
export type RecordAnswer =
  | { readonly kind: 'stands'; readonly stored: StoredMove }
  | { readonly kind: 'conflict'; readonly stored: StoredMove | undefined }
  | { readonly kind: 'unavailable'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'outcomeUnknown' };

/** Updates the record if its version in the store is still `version`. */
export interface WriteRecord {
  readonly kind: 'writeRecord';
  readonly record: MoveRecord;
  readonly version: number;
}

export interface ReadRecord {
  readonly kind: 'readRecord';
  readonly pool: PoolId;
}

export type RecordEffect = WriteRecord | ReadRecord;

/** A decision about a move, for the decision log. */
export interface MoveDecisionLogged {
  readonly kind: 'logMoveDecision';
  readonly decision:
    | 'stepTaken'
    | 'stepTakenLocally'
    | 'stepHeld'
    | 'vetoed'
    | 'takenBack'
    | 'cancelled'
    | 'late'
    | 'fullShare'
    | 'done'
    | 'cancelRefused'
    | 'badnessAfterDone';
  readonly move: MoveIdentity;
  readonly reason: string;
  readonly share: number;
}

/** The store's answer to the last requested write or read. */
export interface RecordAnswered {
  readonly kind: 'recordAnswered';
  readonly answer: RecordAnswer;
}

/** The record was received by watch, by list or from a peer. */
export interface RecordSeen {
  readonly kind: 'recordSeen';
  readonly stored: StoredMove;
}

export interface VetoReceived {
  readonly kind: 'vetoHeard';
  readonly veto: MoveVeto;
}

export interface ReportReceived {
  readonly kind: 'reportHeard';
  readonly report: DomainReport;
}

/** An operator cancels the move. */
export interface CancelRequested {
  readonly kind: 'cancelRequested';
  readonly move: MoveIdentity;
  readonly operator: string;
}

export interface MoveTimePassed {
  readonly kind: 'timePassed';
}

/** Requests of the pool's old version that are in flight in the failure domain. */
export interface OldTrafficCounted {
  readonly kind: 'oldTrafficCounted';
  readonly inFlight: number;
}

/** Share of the pool's traffic in the failure domain that the new version's backend servers can serve. */
export interface CapacityCounted {
  readonly kind: 'capacityCounted';
  readonly bearableShare: number;
}

/** The set of reachable failure domains changed. */
export interface ReachableDomainsChanged {
  readonly kind: 'reachableChanged';
  readonly failureDomains: readonly FailureDomainId[];
}

export interface MovesLeaseChanged {
  readonly kind: 'leaseChanged';
  readonly lease: LeaseState;
}

export type MoveGuardMessage =
  | RecordSeen
  | RecordAnswered
  | VersionEvidence
  | VetoReceived
  | ReportReceived
  | CancelRequested
  | OldTrafficCounted
  | CapacityCounted
  | MoveTimePassed;

/** Sets the version's share to 0 at the failure domain's schedulers immediately. */
export interface VetoVersion {
  readonly kind: 'vetoVersion';
  readonly pool: PoolId;
  readonly version: VersionId;
}

/** The shares that the pool's scheduler in this failure domain must use. */
export interface SharesChanged {
  readonly kind: 'sharesChanged';
  readonly pool: PoolId;
  readonly shares: readonly VersionShare[];
}

/** Sends the veto to the entry hosts of all failure domains, which keep it for a guard that starts later. */
export interface AnnounceVeto {
  readonly kind: 'announceVeto';
  readonly veto: MoveVeto;
}

/** Sends the report to all other failure domains and the controller. */
export interface AnnounceReport {
  readonly kind: 'announceReport';
  readonly report: DomainReport;
}

export type MoveGuardEffect =
  VetoVersion | SharesChanged | AnnounceVeto | AnnounceReport | RecordEffect | MoveDecisionLogged;

/** Pacing of the steps, shared by the controller and the failure domains. */
export interface MovePolicy {
  /** Minimum time between two steps. */
  readonly minimumStepTime: Milliseconds;
  /** How long a failure domain waits for the controller after a pre-authorised step is due before it takes the step. */
  readonly localStepGrace: Milliseconds;
  /** Age above which another failure domain's report is no longer used. */
  readonly reportLifetime: Milliseconds;
  readonly reportInterval: Milliseconds;
  /** Interval at which reports include the evidence while it is inconclusive. */
  readonly evidenceInterval: Milliseconds;
  /** How long after its start a guard gives the new version no traffic, so that it can receive earlier vetoes. */
  readonly settleTime: Milliseconds;
  readonly evidence: EvidencePolicy;
  readonly regressionTests: Partial<RegressionTestPolicy>;
}

export interface MoveGuardOptions {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  /** Every failure domain of the deployment that serves the pool, this one included. */
  readonly failureDomains: readonly FailureDomainId[];
  readonly policy?: Partial<MovePolicy>;
}

/** Follows one pool's moves in one failure domain: tests the new version, vetoes it and returns the shares in force. */
export interface MoveGuard {
  /** Handles one message at wall time `now` and returns the effects to execute, in order. */
  handle(message: MoveGuardMessage, now: number): readonly MoveGuardEffect[];
  shares(): readonly VersionShare[] | undefined;
}

export type MoveControllerMessage =
  | MovesLeaseChanged
  | RecordSeen
  | RecordAnswered
  | VetoReceived
  | ReportReceived
  | CancelRequested
  | ReachableDomainsChanged
  | MoveTimePassed;

/** Sends the record to all failure domains immediately, in addition to the watch. */
export interface AnnounceRecord {
  readonly kind: 'announceRecord';
  readonly stored: StoredMove;
}

export type MoveControllerEffect = AnnounceRecord | RecordEffect | MoveDecisionLogged;

export interface MoveControllerOptions {
  readonly pool: PoolId;
  readonly failureDomains: readonly FailureDomainId[];
  readonly policy?: Partial<MovePolicy>;
}

/** Drives one pool's moves while the moves lease is held. */
export interface MoveController {
  /** Handles one message at wall time `now` and returns the effects to execute, in order. */
  handle(message: MoveControllerMessage, now: number): readonly MoveControllerEffect[];
}
