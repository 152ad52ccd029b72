/** Moves of a pool's traffic from one version to another. */
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

/** Why a version was judged bad. */
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
  /** Share of the new version once the step is in force. */
  readonly share: number;
  /** Wall time, milliseconds since 1970, before which the step is not taken. */
  readonly notBefore: number;
}

/** The move object in the store; changed by conditional update only. */
export interface MoveRecord {
  readonly kind: 'move';
  readonly pool: PoolId;
  readonly from: VersionId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly startedAt: number;
  /** Wall time by which the new version must carry everything. */
  readonly deadline: number;
  /** How long full share is watched before the move is done. */
  readonly bakeTime: Milliseconds;
  readonly steps: readonly MoveStep[];
  /** Index of the step in force; -1 before the first. */
  readonly step: number;
  /** Steps up to this index may be taken without the store, on local evidence. */
  readonly preAuthorisedThrough: number;
  /** Grows with each change of the record. */
  readonly generation: Generation;
  readonly verdict: MoveVerdict;
  readonly takenBackBecause: RollbackReason | undefined;
  /** Set once the deadline cannot be met any more. */
  readonly late: boolean;
  /** Lease generation of the controller that changed the record last; an older one may not change it. */
  readonly controllerGeneration?: Generation;
  /** Wall time at which every reachable failure domain had confirmed full share. */
  readonly fullShareAt?: number;
}

/** What names one move: a later move of the same pool has another start. */
export interface MoveIdentity {
  readonly pool: PoolId;
  readonly to: VersionId;
  readonly startedAt: number;
}

/** Why no plan can be made. */
export type MovePlanError =
  | { readonly kind: 'sameVersion'; readonly version: VersionId }
  /** The least time that a plan with these options takes. */
  | { readonly kind: 'deadlineTooNear'; readonly leastMilliseconds: Milliseconds };

export interface MovePlanOptions {
  readonly pool: PoolId;
  readonly from: VersionId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly startedAt: number;
  /** Wall time by which the new version must carry everything. */
  readonly deadline: number;
  readonly bakeTime: Milliseconds;
  /** Share of the first step where the traffic is enough to judge by it. */
  readonly firstShare?: number;
  /** Factor between the odds of the shares of two steps where the time allows it. */
  readonly oddsGrowthFactor?: number;
  /** Least time between two steps. */
  readonly minimumStepTime?: Milliseconds;
  /** Part of the time until the deadline that the plan leaves free. */
  readonly deadlineMarginFraction?: number;
  /** Requests a second of the pool over all failure domains; raises the first share of a quiet pool. */
  readonly requestsPerSecond?: number;
  /** Whether failure domains may take the plan's steps on their own when the controller or the store is away. */
  readonly outagePolicy?: OutagePolicy;
}

/** What happens to a move's share while the controller or the store is away. */
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
  /** Any failure domain may take a version back; no lease is needed. */
  | { readonly kind: 'takeBack'; readonly reason: RollbackReason }
  /** An operator's word, told to any host. */
  | { readonly kind: 'cancel' };

/** Why a change of a move record is refused. */
export type MoveChangeError =
  | { readonly kind: 'verdictFinal'; readonly verdict: MoveVerdict }
  | { readonly kind: 'staleController'; readonly generation: Generation }
  | { readonly kind: 'noEffect' };

/** A failure domain's word that a move's new version gets nothing more. */
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

/** What a failure domain says of a move, about once a second. */
export interface DomainReport {
  readonly kind: 'domainReport';
  readonly move: MoveIdentity;
  readonly failureDomain: FailureDomainId;
  /** Generation of the record that the failure domain follows. */
  readonly generation: Generation;
  /** Index of the step in force there. */
  readonly step: number;
  /** Wall time there since which the step has been in force. */
  readonly stepSince: number;
  readonly share: number;
  /** Requests of the old version still running there. */
  readonly oldInFlight: number;
  /** The evidence leans against the new version; no step up until it has gone. */
  readonly suspicious: boolean;
  readonly vetoed: boolean;
  /** Share of the traffic there that the new version's backend servers can bear now. */
  readonly bearableShare: number;
  readonly cells: readonly CellEvidence[];
  /** Empty where the evidence was reported a short time ago and leans no way. */
  readonly units: readonly SegmentEvidence[];
}

/** How sure the judgement must be and how much worse a version may be. */
export interface RegressionTestPolicy {
  /** Most probability that a good version is taken back, over a whole move. */
  readonly significanceLevel: number;
  /** Failure rate of the new version that is borne whatever the old one's is. */
  readonly toleratedFailureRate: number;
  /** Factor over the old version's failure rate that is borne. */
  readonly toleratedFailureRatio: number;
  /** Factor over the old version's time to the first token that is borne. */
  readonly toleratedFirstTokenRatio: number;
  /** Factor over the old version's time between tokens that is borne. */
  readonly toleratedBetweenTokensRatio: number;
  /** First requests of the new version in a failure domain whose times do not count: its engines are cold. */
  readonly warmUpRequests: number;
  /** Routes, and pairs of route and tier, that are expected; more are judged with less power. */
  readonly expectedSegments: number;
}

export interface RegressionDetectorOptions {
  readonly from: VersionId;
  readonly to: VersionId;
  /** Failure domains that judge the move; the false alarm is shared out to them. */
  readonly failureDomains: number;
  readonly policy?: Partial<RegressionTestPolicy>;
}

/** A version found bad. */
export interface DetectedRegression {
  readonly ground: RollbackCause;
  readonly route: string;
  readonly tier: TierRank;
  readonly detail: string;
}

/** Judges one move in one failure domain. */
export interface RegressionDetector {
  /** Takes one finished request; returns the badness once it is certain enough, and on every call after. */
  observe(evidence: VersionEvidence, now: Milliseconds): DetectedRegression | undefined;
  /** Judges this failure domain's evidence together with what the others last reported. */
  testJointly(others: readonly (readonly SegmentEvidence[])[]): DetectedRegression | undefined;
  /** Starts the counts of a step with this share; the tests go on. */
  beginStep(share: number): void;
  /** Whether the evidence leans against the new version without being certain. */
  isSuspicious(): boolean;
  cells(): readonly CellEvidence[];
  segments(): readonly SegmentEvidence[];
}

/** Wealth of the four tests of one unit: 1 at the start, and growing as the evidence does. */
export interface TestStatistics {
  readonly failureRate: number;
  readonly failureRatio: number;
  readonly firstToken: number;
  readonly betweenTokens: number;
}

/** What is judged as one: everything, one route, or one route and tier. */
export interface TrafficSegment {
  /** Undefined for every route. */
  readonly route: string | undefined;
  /** Undefined for every tier. */
  readonly tier: TierRank | undefined;
}

/** A unit's evidence as one failure domain reports it. */
export interface SegmentEvidence extends TrafficSegment, TestStatistics {}

/** One finished request as a unit's tests take it. */
export interface SegmentObservation {
  readonly isNew: boolean;
  readonly failed: boolean;
  /** Normalised logarithm; undefined when no token came or the new version's engines are cold. */
  readonly firstToken: number | undefined;
  readonly betweenTokens: number | undefined;
  readonly isFullShare: boolean;
}

/** Judges one unit in one failure domain. */
export interface SegmentTests {
  readonly segment: TrafficSegment;
  /** Probability of a false alarm that one ground may spend here. */
  readonly significanceLevel: number;
  observe(observation: SegmentObservation, now: Milliseconds): void;
  evidence(): TestStatistics;
  martingales(): TestStatistics;
  newRequests(): number;
  oldRequests(): number;
  beginStep(): void;
}

/** An accumulated test of "no worse than tolerated" that is valid at any time. */
export interface SequentialTest {
  /** Evidence against the hypothesis; the probability of ever reaching `1 / p` under it is at most `p`. */
  readonly evidence: number;
  /** The evidence with what is not yet staked: a supermartingale from 1, which may be multiplied over domains. */
  readonly martingale: number;
  /** Multiplies in what one observation says, one factor for each alternative. */
  update(factors: readonly number[]): void;
}

/** How much evidence a step up needs. */
export interface EvidencePolicy {
  /** Finished requests of the new version since the step began, over all failure domains. */
  readonly minimumRequests: number;
  /** The same on each route and tier where the old version's traffic lets it be expected. */
  readonly minimumCellRequests: number;
}

/** What the controller knows of a move when it looks for the next change. */
export interface MoveSituation {
  readonly record: MoveRecord;
  /** Fresh reports of every reachable failure domain; undefined when one is missing. */
  readonly freshReports: readonly DomainReport[] | undefined;
  /** Wall time at which the controller saw the record's step for the first time. */
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

/** One move as one failure domain follows it. */
export interface FollowedMove {
  readonly record: () => MoveRecord;
  /** The change of the record that the failure domain asks for. */
  decideChange(record: MoveRecord): MoveChange | undefined;
  updateRecord(record: MoveRecord, now: number): readonly MoveGuardEffect[];
  observe(evidence: VersionEvidence, now: number): readonly MoveGuardEffect[];
  applyVeto(veto: MoveVeto, now: number): readonly MoveGuardEffect[];
  cancel(request: CancelRequested, now: number): readonly MoveGuardEffect[];
  /** Takes a pre-authorised step when the other failure domains' reports allow it. */
  stepLocally(freshReports: readonly DomainReport[], now: number): readonly MoveGuardEffect[];
  /** Judges the evidence of all failure domains together. */
  testJointly(freshReports: readonly DomainReport[], now: number): readonly MoveGuardEffect[];
  /** Notes what the pool's scheduler counted. */
  updateCounts(update: OldTrafficCounted | CapacityCounted): void;
  /** Gives the scheduler the shares when they differ from the last. */
  refreshShares(now: number): readonly MoveGuardEffect[];
  shares(): readonly VersionShare[];
  createReport(): DomainReport;
  veto(): MoveVeto | undefined;
}

/** Keeps what is known of the record and writes changes to it, one call at a time. */
export interface RecordWriter {
  stored(): StoredMove | undefined;
  /** Takes a record that was seen; false when a newer one is known. */
  applyIfNewer(stored: StoredMove): boolean;
  /** Takes the answer to the last call; true when it brought a newer record. */
  handleAnswer(answer: RecordAnswer, now: number): boolean;
  /** The next call towards the change that `decide` wants, if one may be made now. */
  advanceTowards(
    decide: (record: MoveRecord) => MoveChange | undefined,
    now: number,
  ): readonly RecordEffect[];
}

/** A record as the store holds it. */
export interface StoredMove {
  readonly record: MoveRecord;
  /** Version of the object in the store. */
  readonly version: number;
}

/** The answer to a write or a read of the record. */
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

/** A decision about a move, for the log. */
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

/** The store's answer to the last write or read that was asked for. */
export interface RecordAnswered {
  readonly kind: 'recordAnswered';
  readonly answer: RecordAnswer;
}

/** The record was seen by watch, by list or from a peer. */
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

/** Requests of the pool's old version that still run in the failure domain. */
export interface OldTrafficCounted {
  readonly kind: 'oldTrafficCounted';
  readonly inFlight: number;
}

/** How much of the pool's traffic in the failure domain the new version's backend servers can bear. */
export interface CapacityCounted {
  readonly kind: 'capacityCounted';
  readonly bearableShare: number;
}

/** Failure domains that can be heard. */
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

/** Sets the version's share to nothing at the domain's schedulers at once. */
export interface VetoVersion {
  readonly kind: 'vetoVersion';
  readonly pool: PoolId;
  readonly version: VersionId;
}

/** The shares that the pool's scheduler in this failure domain is to follow. */
export interface SharesChanged {
  readonly kind: 'sharesChanged';
  readonly pool: PoolId;
  readonly shares: readonly VersionShare[];
}

/** To every entry host of this and of every other failure domain, which keep it for a new guard. */
export interface AnnounceVeto {
  readonly kind: 'announceVeto';
  readonly veto: MoveVeto;
}

/** To every other failure domain and the controller. */
export interface AnnounceReport {
  readonly kind: 'announceReport';
  readonly report: DomainReport;
}

export type MoveGuardEffect =
  VetoVersion | SharesChanged | AnnounceVeto | AnnounceReport | RecordEffect | MoveDecisionLogged;

/** Pacing of the steps, shared by the controller and the failure domains. */
export interface MovePolicy {
  /** Least time between two steps. */
  readonly minimumStepTime: Milliseconds;
  /** How long after a step's time a failure domain waits for the controller before it takes a pre-authorised one. */
  readonly localStepGrace: Milliseconds;
  /** Age beyond which another failure domain's report no longer counts. */
  readonly reportLifetime: Milliseconds;
  readonly reportInterval: Milliseconds;
  /** Interval of the evidence in the reports while it leans no way. */
  readonly evidenceInterval: Milliseconds;
  /** After a start, how long a failure domain gives the new version nothing, to hear of earlier vetoes. */
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

/** Follows one pool's moves in one failure domain: judges, vetoes and says which shares are in force. */
export interface MoveGuard {
  /** Takes one message at wall time `now` and returns what is to be done, in order. */
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

/** Gives the record to every failure domain at once, beside the watch. */
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
  /** Takes one message at wall time `now` and returns what is to be done, in order. */
  handle(message: MoveControllerMessage, now: number): readonly MoveControllerEffect[];
}
