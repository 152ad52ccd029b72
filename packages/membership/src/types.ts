/** Types of the membership of failure domains: messages, effects and records. */
import type {
  EntryHostId,
  FailureDomainId,
  Generation,
  Incarnation,
  Milliseconds,
  PoolId,
  Random,
  VirtualClock,
} from '@rattanreel/core';

/**
 * State of one entry host. Rows of one entry host are totally ordered: the higher incarnation wins,
 * then a dead row, then the higher version; the accusers of equal rows are united. Merging is
 * therefore idempotent, commutative and associative.
 */
export interface MemberRow {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Raised by the entry host itself when it refutes an accusation or changes its own state. */
  readonly version: number;
  /** Address for other entry hosts, as host:port. */
  readonly address: string;
  /**
   * The entry host is about to stop or is drained: it owns nothing, but finishes its requests in
   * flight.
   */
  readonly leaving: boolean;
  /** Final for this incarnation. */
  readonly dead: boolean;
  /** Members that have had no contact with it for too long. */
  readonly accusers: readonly EntryHostId[];
}

/** An entry host that the settings name. */
export interface ConfiguredEntryHost {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  /** Address for other entry hosts, as host:port. */
  readonly peerAddress: string;
}

/** Capacity of a pool in one failure domain, as the pool's scheduler there reports it. */
export interface PoolCapacity {
  readonly pool: PoolId;
  /** Tokens that the pool could still accept without queueing. */
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly drained: boolean;
}

export interface AgedPoolCapacity extends PoolCapacity {
  readonly age: Milliseconds;
}

/**
 * Pool capacities by column, which encodes in a third of the bytes that a list of mappings needs.
 */
export interface PoolCapacityColumns {
  readonly pools: readonly PoolId[];
  readonly spareTokens: readonly number[];
  readonly queuedTokens: readonly number[];
  readonly drained: readonly boolean[];
}

/** Number of hosts whose active configuration has this generation. */
export interface GenerationCount {
  readonly generation: Generation;
  readonly hosts: number;
}

/** Sent to the watchers of the sender several times a second. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly from: EntryHostId;
  readonly incarnation: Incarnation;
  /**
   * Digest of the sender's table; tables whose digests differ in two heartbeats in a row are
   * reconciled.
   */
  readonly digest: number;
  /** Generation of the sender's active configuration; 0 when it has none. */
  readonly generation: Generation;
}

/** Changed rows of the table, sent to the whole failure domain at once. */
export interface RowsChanged {
  readonly kind: 'rowsChanged';
  readonly from: EntryHostId;
  readonly rows: readonly MemberRow[];
}

/**
 * Requests the whole table. Carries the sender's own row, so that the request also joins the
 * sender.
 */
export interface SyncRequested {
  readonly kind: 'syncRequested';
  readonly from: EntryHostId;
  readonly row: MemberRow;
}

export interface Synced {
  readonly kind: 'synced';
  readonly from: EntryHostId;
  readonly rows: readonly MemberRow[];
}

/** Checks whether the receiver is reachable. */
export interface Probe {
  readonly kind: 'probe';
  readonly from: EntryHostId;
}

export interface ProbeAnswered {
  readonly kind: 'probeAnswered';
  readonly from: EntryHostId;
}

/** Report of an entry host to its delegates. */
export interface HostReported {
  readonly kind: 'hostReported';
  readonly from: EntryHostId;
  readonly generation: Generation;
  /** Capacities of the pools that the sender schedules. */
  readonly rooms: PoolCapacityColumns;
}

/** Status of a failure domain that every entry host receives. */
export interface DomainStatus {
  readonly failureDomain: FailureDomainId;
  /** Age of the status at the time of sending, over all relays. */
  readonly age: Milliseconds;
  /** Digest of the domain's members; the member list is requested when the digest differs. */
  readonly membersDigest: number;
  readonly generations: readonly GenerationCount[];
}

/** Summary of the sender's own failure domain, sent between delegates of two domains. */
export interface DomainSummarised {
  readonly kind: 'domainSummarised';
  readonly from: EntryHostId;
  readonly fromAddress: string;
  readonly status: DomainStatus;
  readonly rooms: PoolCapacityColumns;
  /** True when a host that is not a delegate has forwarded the summary to the delegates. */
  readonly passedOn: boolean;
}

/** Status of all failure domains, sent by a delegate to an entry host of its own domain. */
export interface DomainsRelayed {
  readonly kind: 'domainsRelayed';
  readonly from: EntryHostId;
  readonly domains: readonly DomainStatus[];
}

/** Capacities of a pool in other failure domains, by column. */
export interface RemoteCapacityColumns {
  readonly pool: PoolId;
  readonly failureDomains: readonly FailureDomainId[];
  readonly ages: readonly Milliseconds[];
  readonly spareTokens: readonly number[];
  readonly queuedTokens: readonly number[];
  readonly drained: readonly boolean[];
}

/**
 * Capacities in other failure domains, sent by a delegate to the entry host that schedules the
 * pools.
 */
export interface RoomsRelayed {
  readonly kind: 'roomsRelayed';
  readonly from: EntryHostId;
  readonly rooms: readonly RemoteCapacityColumns[];
}

export interface DomainMembersRequested {
  readonly kind: 'domainMembersRequested';
  readonly from: EntryHostId;
  readonly fromAddress: string;
  readonly failureDomain: FailureDomainId;
}

/** A live entry host of a failure domain. */
export interface DomainMember {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly address: string;
  readonly leaving: boolean;
}

export interface DomainMembersSent {
  readonly kind: 'domainMembersSent';
  readonly from: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly digest: number;
  readonly members: readonly DomainMember[];
}

/** Messages about membership between entry hosts. */
export type MembershipPeerMessage =
  | Heartbeat
  | RowsChanged
  | SyncRequested
  | Synced
  | Probe
  | ProbeAnswered
  | HostReported
  | DomainSummarised
  | DomainsRelayed
  | RoomsRelayed
  | DomainMembersRequested
  | DomainMembersSent;

/** Reports a message from another entry host. */
export interface PeerMessageReceived {
  readonly kind: 'peerMessageReceived';
  readonly message: MembershipPeerMessage;
}

/** Reports that time has passed; sent when the next wake-up is due. */
export interface TimePassed {
  readonly kind: 'timePassed';
}

/** Reports the configuration that is active at this entry host. */
export interface ConfigurationChanged {
  readonly kind: 'configurationChanged';
  readonly generation: Generation;
  readonly entryHosts: readonly ConfiguredEntryHost[];
}

/**
 * Reports the capacities of the pools that this entry host schedules now; replaces the previous
 * report.
 */
export interface RoomsChanged {
  readonly kind: 'roomsChanged';
  readonly rooms: readonly PoolCapacity[];
}

/** Reports that this entry host is leaving or drained, or no longer is. */
export interface LeavingChanged {
  readonly kind: 'leavingChanged';
  readonly leaving: boolean;
}

/** Reports that this process is ending, which declares its own incarnation dead. */
export interface Departed {
  readonly kind: 'departed';
}

/** Reports the platform's list of hosts, which lags behind. */
export interface HostsListed {
  readonly kind: 'hostsListed';
  readonly entryHosts: readonly EntryHostId[];
}

export type MembershipMessage =
  | PeerMessageReceived
  | TimePassed
  | ConfigurationChanged
  | RoomsChanged
  | LeavingChanged
  | Departed
  | HostsListed;

/** Sends a message to a peer; the message may be lost. */
export interface SendToPeer {
  readonly kind: 'sendToPeer';
  readonly entryHost: EntryHostId;
  readonly address: string;
  readonly message: MembershipPeerMessage;
}

/** Identifies one run of an entry host, with its failure domain. */
export interface MemberIncarnation {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
}

/** Reports that the known members have changed, in this failure domain or in another. */
export interface MembersChanged {
  readonly kind: 'membersChanged';
  /** Incarnations that are alive and not suspected, over all failure domains. */
  readonly alive: readonly MemberIncarnation[];
  /** Incarnations declared dead since the last effect of this kind. */
  readonly dead: readonly MemberIncarnation[];
}

/**
 * Reports that this entry host was declared dead, by mistake or after a pause, and continues under
 * a new incarnation.
 */
export interface IncarnationChanged {
  readonly kind: 'incarnationChanged';
  readonly previous: Incarnation;
  readonly incarnation: Incarnation;
}

/**
 * Reports that another process runs under this entry host's name, so that this process must stop.
 */
export interface Replaced {
  readonly kind: 'replaced';
  readonly by: Incarnation;
}

/** Reports a peer whose active configuration is later than this entry host's. */
export interface LaterGenerationSeen {
  readonly kind: 'laterGenerationSeen';
  readonly entryHost: EntryHostId;
  readonly address: string;
  readonly generation: Generation;
}

export type MembershipEffect =
  SendToPeer | MembersChanged | IncarnationChanged | Replaced | LaterGenerationSeen;

export interface MemberView {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly address: string;
  readonly state: 'alive' | 'suspected';
  readonly leaving: boolean;
}

/** State of a failure domain as last received by this entry host. */
export interface DomainView {
  readonly failureDomain: FailureDomainId;
  /** Age of the last status; undefined when none has been received. */
  readonly age: Milliseconds | undefined;
  readonly members: readonly DomainMember[];
  readonly delegates: readonly EntryHostId[];
  readonly generations: readonly GenerationCount[];
  /**
   * Capacities of every pool at a delegate; elsewhere only of the pools that this host schedules.
   */
  readonly rooms: readonly AgedPoolCapacity[];
}

export interface MembershipView {
  readonly self: MemberIncarnation;
  /**
   * False until the table of this failure domain has been received, or nobody has answered within
   * the join timeout.
   */
  readonly joined: boolean;
  /** True when another process runs under this entry host's name. */
  readonly replaced: boolean;
  /** Members of this failure domain, this entry host included. */
  readonly members: readonly MemberView[];
  readonly delegates: readonly EntryHostId[];
  readonly isDelegate: boolean;
  /** Every failure domain that the settings name, this one included. */
  readonly domains: readonly DomainView[];
}

/**
 * Membership as one entry host sees it. It uses no sockets and no timers; its only side effects are
 * on its own state.
 */
export interface Membership {
  /** Handles one message at monotonic time `now` and returns the effects to perform, in order. */
  handle(message: MembershipMessage, now: Milliseconds): readonly MembershipEffect[];
  /** Returns the time at which the next `timePassed` is due. */
  getNextWakeUp(now: Milliseconds): Milliseconds;
  view(now: Milliseconds): MembershipView;
  /**
   * Returns the live entry host of a failure domain that owns a key, or undefined when none is
   * known.
   */
  tryGetOwner(key: string, failureDomain: FailureDomainId): DomainMember | undefined;
}

/** Tuning of the membership protocol; each value has a default. */
export interface MembershipPolicy {
  readonly heartbeatInterval: Milliseconds;
  /** Number of entry hosts that watch each entry host. */
  readonly watchers: number;
  /** Time without contact after which a watcher accuses a member. */
  readonly accuseAfter: Milliseconds;
  /** How long a member stays suspected before it is declared dead. */
  readonly deadAfter: Milliseconds;
  readonly reportInterval: Milliseconds;
  /** Shortest time between two summaries of a domain to another one. */
  readonly summaryInterval: Milliseconds;
  /**
   * Added to the summary interval for each other failure domain, which bounds a delegate's traffic.
   */
  readonly summaryIntervalPerDomain: Milliseconds;
  /**
   * Time between two relays of all domains' status from a delegate to the entry hosts of its
   * domain.
   */
  readonly relayInterval: Milliseconds;
  /** Time between two join requests, each to one absent entry host of the settings. */
  readonly joinInterval: Milliseconds;
  /** How long a starting entry host waits for an answer before it assumes that it is the first. */
  readonly joinTimeout: Milliseconds;
  /** How long a dead entry host that the settings do not name is kept in the table. */
  readonly forgetAfter: Milliseconds;
}

export interface MembershipOptions {
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
  readonly incarnation: Incarnation;
  /** Entry hosts known at the start, replaced by those of a configuration. */
  readonly entryHosts: readonly ConfiguredEntryHost[];
  readonly startedAt: Milliseconds;
  readonly random: Random;
  readonly policy?: Partial<MembershipPolicy>;
}

/** Table of the rows of one failure domain; internal to the library. */
export interface MemberTable {
  /** Merges a row and returns whether something changed. */
  merge(row: MemberRow, now: Milliseconds): boolean;
  tryGet(entryHost: EntryHostId): MemberRow | undefined;
  rows(): readonly MemberRow[];
  /** Rows of incarnations not declared dead, in ring order. */
  liveRows(): readonly MemberRow[];
  /** Live members that are not suspected. Returns the same list until a row changes. */
  members(): readonly DomainMember[];
  digest(): number;
  isSuspected(entryHost: EntryHostId): boolean;
  /** Members to which an entry host sends its heartbeats. */
  watchersOf(entryHost: EntryHostId): readonly EntryHostId[];
  /** Returns the incarnations that died since the last call. */
  collectNewlyDead(): readonly {
    readonly entryHost: EntryHostId;
    readonly incarnation: Incarnation;
  }[];
  /** Removes dead rows unchanged since `before` whose entry host is not in `entryHosts`. */
  removeExpired(entryHosts: ReadonlySet<EntryHostId>, before: Milliseconds): void;
}

/** Detects failed members; internal to the library. */
export interface FailureDetector {
  /** Records a message that came directly from a member. */
  recordContact(entryHost: EntryHostId, now: Milliseconds): void;
  /** Restarts every timeout, after a pause of this process. */
  restartTimeouts(now: Milliseconds): void;
  /**
   * Accuses members and declares them dead as their timeouts expire; returns the rows that changed.
   */
  detectFailures(now: Milliseconds): readonly MemberRow[];
  /** Returns whether an accusation by this host is open, so that members must be probed. */
  shouldProbe(): boolean;
  /** Sets the entry hosts that the platform lists. */
  setListedHosts(entryHosts: ReadonlySet<EntryHostId>): void;
}

/** State of failure domains beyond the liveness of their members; internal to the library. */
export interface DomainDirectory {
  recordReport(message: HostReported, now: Milliseconds): void;
  recordSummary(message: DomainSummarised, now: Milliseconds): void;
  recordStatuses(message: DomainsRelayed, now: Milliseconds): void;
  recordRemoteCapacities(message: RoomsRelayed, now: Milliseconds): void;
  /**
   * Applies a member list and returns the incarnations that it no longer contains. Ignores a list
   * whose digest differs from the one in the domain's status.
   */
  updateMembers(message: DomainMembersSent): readonly DomainMember[];
  membersOf(failureDomain: FailureDomainId): readonly DomainMember[];
  /** Returns the domains whose stored member list differs from the digest in their status. */
  listOutdatedDomains(): readonly FailureDomainId[];
  listStatuses(now: Milliseconds): readonly DomainStatus[];
  listCapacities(failureDomain: FailureDomainId, now: Milliseconds): readonly AgedPoolCapacity[];
  /**
   * Returns the capacities, in the other domains, of the pools that an entry host of this domain
   * reported.
   */
  listRemoteCapacitiesFor(
    entryHost: EntryHostId,
    now: Milliseconds,
  ): readonly RemoteCapacityColumns[];
  /** Summarises this host's own domain from its members' reports. */
  summariseOwnDomain(members: readonly DomainMember[], now: Milliseconds): OwnDomainSummary;
  tryGetStatusAge(failureDomain: FailureDomainId, now: Milliseconds): Milliseconds | undefined;
}

/** Summary of a delegate's own failure domain. */
export interface OwnDomainSummary {
  readonly status: DomainStatus;
  readonly rooms: PoolCapacityColumns;
}

/** Schedule of periodic tasks; internal to the library. */
export interface PeriodicSchedule {
  /** Returns true once per interval, and then sets the next due time. */
  isDue(name: string, interval: Milliseconds, now: Milliseconds): boolean;
  /** Returns when a named task is due next; `now` when it has not been scheduled. */
  getNextDueTime(name: string, now: Milliseconds): Milliseconds;
}

/** State and functions that the parts of a membership share; internal to the library. */
export interface MembershipContext {
  readonly failureDomain: FailureDomainId;
  readonly policy: MembershipPolicy;
  readonly table: MemberTable;
  readonly directory: DomainDirectory;
  readonly schedule: PeriodicSchedule;
  readonly ownerSelector: OwnerSelector;
  /** State set by the settings and this process. Its members are replaced as a whole. */
  readonly localState: LocalState;
  self(): MemberRow;
  /** Returns the live members of a failure domain without the suspected ones. */
  membersOf(failureDomain: FailureDomainId): readonly DomainMember[];
  delegatesOf(failureDomain: FailureDomainId): readonly DomainMember[];
  /**
   * Returns the position of this host among its domain's delegates; -1 when it is not a delegate.
   */
  delegateIndex(): number;
  emit(effect: MembershipEffect): void;
  /** Sends a message to an entry host; does nothing when its address is unknown. */
  send(entryHost: EntryHostId, message: MembershipPeerMessage, address?: string): void;
  /** Sends a message to every other live member of this failure domain. */
  broadcast(message: MembershipPeerMessage): void;
}

/** State that messages of this process set; internal to the library. */
export interface LocalState {
  entryHosts: readonly ConfiguredEntryHost[];
  generation: Generation;
  capacities: readonly PoolCapacity[];
}

/** Rendezvous hashing with results cached for each member list; internal to the library. */
export interface OwnerSelector {
  getDelegates(members: readonly DomainMember[]): readonly DomainMember[];
  tryGetOwner(key: string, members: readonly DomainMember[]): DomainMember | undefined;
}

/** Holds this host's own row, which several parts read; internal to the library. */
export interface OwnRowHolder {
  row: MemberRow;
}

/** Maintains this host's own row; internal to the library. */
export interface OwnRow {
  /** Changes the state that this host reports of itself and broadcasts it to the domain. */
  update(change: Partial<Pick<MemberRow, 'leaving' | 'dead'>>, now: Milliseconds): void;
  /**
   * Reconciles this host's own row with the table: refutes an accusation, starts a new incarnation,
   * or detects that another process has replaced this one.
   */
  reconcile(now: Milliseconds): void;
  isReplaced(): boolean;
}

/** Periodic part of the exchange of summaries; internal to the library. */
export interface PeriodicTask {
  run(now: Milliseconds): void;
}

/** Requests and answers member lists; internal to the library. */
export interface MemberListExchange {
  /** Handles another domain's summary; forwards it when this host is not a delegate. */
  handleSummary(message: DomainSummarised, now: Milliseconds): void;
  /** Requests from a host the member lists of those domains whose stored list is out of date. */
  requestOutdated(
    from: EntryHostId,
    domains: readonly FailureDomainId[],
    address: string | undefined,
    now: Milliseconds,
  ): void;
  answerRequest(message: DomainMembersRequested): void;
}

/** Sends heartbeats and reconciles tables within a failure domain; internal to the library. */
export interface TableExchange {
  requestSync(entryHost: EntryHostId, address?: string): void;
  /**
   * Sends a live host the accusation against it, which it may not have received, so that it can
   * refute it.
   */
  sendAccusation(entryHost: EntryHostId): void;
  sendHeartbeats(): void;
  handleHeartbeat(heartbeat: Heartbeat, now: Milliseconds): void;
  answerSync(message: SyncRequested): void;
  /** Merges a peer's table and sends the rows that the peer lacks. */
  handleSync(message: Synced, now: Milliseconds): void;
}

/** Handles messages of other entry hosts; internal to the library. */
export interface PeerReceiver {
  receive(message: MembershipPeerMessage, now: Milliseconds): void;
}

/** Reports changed members; internal to the library. */
export interface ChangeReporter {
  recordDead(failureDomain: FailureDomainId, members: readonly DomainMember[]): void;
  report(): void;
}

/** Entry host of a simulation; for tests. */
export interface SimulatedMember {
  readonly id: EntryHostId;
  readonly membership: Membership;
  running: boolean;
  paused: boolean;
  readonly backlog: MembershipMessage[];
  /** Effects other than messages, in order. */
  readonly effects: MembershipEffect[];
}

/** Simulation of many memberships in virtual time; for tests. */
export interface SimulatedMembers {
  readonly clock: VirtualClock;
  /** Failed links as `from to`; `*` stands for every host. */
  readonly failedLinks: Set<string>;
  /** Number of messages sent so far, by kind. */
  readonly sentCounts: Map<MembershipPeerMessage['kind'], number>;
  host(id: EntryHostId): SimulatedMember;
  hosts(): readonly SimulatedMember[];
  /** Starts a new process under the given name. */
  start(id: EntryHostId): SimulatedMember;
  /** Ends a process without notice to its peers. */
  stop(id: EntryHostId): void;
  pause(id: EntryHostId): void;
  resume(id: EntryHostId): void;
  deliver(id: EntryHostId, message: MembershipMessage): void;
}
