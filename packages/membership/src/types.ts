/** Messages, effects and records of the membership of failure domains. */
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
 * What is known of one entry host. Rows of one entry host are totally ordered: the higher
 * incarnation wins, then a dead row, then the higher version; accusers of equal rows are united.
 * Merging is therefore idempotent, commutative and associative.
 */
export interface MemberRow {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Raised by the entry host itself: it refutes an accusation or changes what it says of itself. */
  readonly version: number;
  /** Address for other entry hosts, host:port. */
  readonly address: string;
  /** It is about to stop, or is drained: owns nothing, but finishes what it has in hand. */
  readonly leaving: boolean;
  /** Final for this incarnation. */
  readonly dead: boolean;
  /** Members that have heard nothing from it for too long. */
  readonly accusers: readonly EntryHostId[];
}

/** An entry host that the settings name. */
export interface ConfiguredEntryHost {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  /** Address for other entry hosts, host:port. */
  readonly peerAddress: string;
}

/** What one failure domain's scheduler of a pool says of its room. */
export interface PoolCapacity {
  readonly pool: PoolId;
  /** Tokens that it could still take without a queue. */
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly drained: boolean;
}

export interface AgedPoolCapacity extends PoolCapacity {
  readonly age: Milliseconds;
}

/** Rooms by column, which encodes in a third of the bytes that a list of mappings needs. */
export interface PoolCapacityColumns {
  readonly pools: readonly PoolId[];
  readonly spareTokens: readonly number[];
  readonly queuedTokens: readonly number[];
  readonly drained: readonly boolean[];
}

/** How many hosts have a generation in force. */
export interface GenerationCount {
  readonly generation: Generation;
  readonly hosts: number;
}

/** Sent to the watchers of the sender, several times a second. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly from: EntryHostId;
  readonly incarnation: Incarnation;
  /** Digest of the sender's table; two that differ for long are reconciled. */
  readonly digest: number;
  /** Configuration in force at the sender; 0 when it has none. */
  readonly generation: Generation;
}

/** News of the table: sent to the whole failure domain as it happens. */
export interface RowsChanged {
  readonly kind: 'rowsChanged';
  readonly from: EntryHostId;
  readonly rows: readonly MemberRow[];
}

/** Asks for the whole table; carries the sender's own row, so that it joins by asking. */
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

/** Asks whether the receiver can be heard. */
export interface Probe {
  readonly kind: 'probe';
  readonly from: EntryHostId;
}

export interface ProbeAnswered {
  readonly kind: 'probeAnswered';
  readonly from: EntryHostId;
}

/** An entry host's account of itself to its delegates. */
export interface HostReported {
  readonly kind: 'hostReported';
  readonly from: EntryHostId;
  readonly generation: Generation;
  /** Rooms of the pools that it schedules. */
  readonly rooms: PoolCapacityColumns;
}

/** What every entry host learns of a failure domain. */
export interface DomainStatus {
  readonly failureDomain: FailureDomainId;
  /** How old the account is at the time of sending, over all relays. */
  readonly age: Milliseconds;
  /** Digest of its members; when it differs, the list is asked for. */
  readonly membersDigest: number;
  readonly generations: readonly GenerationCount[];
}

/** The sender's own failure domain, between delegates of two domains. */
export interface DomainSummarised {
  readonly kind: 'domainSummarised';
  readonly from: EntryHostId;
  readonly fromAddress: string;
  readonly status: DomainStatus;
  readonly rooms: PoolCapacityColumns;
  /** Set by a host that is no delegate when it passes the summary on to those that are. */
  readonly passedOn: boolean;
}

/** All failure domains, from a delegate to an entry host of its own domain. */
export interface DomainsRelayed {
  readonly kind: 'domainsRelayed';
  readonly from: EntryHostId;
  readonly domains: readonly DomainStatus[];
}

/** A pool's rooms in other failure domains, by column. */
export interface RemoteCapacityColumns {
  readonly pool: PoolId;
  readonly failureDomains: readonly FailureDomainId[];
  readonly ages: readonly Milliseconds[];
  readonly spareTokens: readonly number[];
  readonly queuedTokens: readonly number[];
  readonly drained: readonly boolean[];
}

/** Rooms in other failure domains, from a delegate to the entry host that schedules the pools. */
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

/** What entry hosts say to each other about membership. */
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

/** A message arrived from another entry host. */
export interface PeerMessageReceived {
  readonly kind: 'peerMessageReceived';
  readonly message: MembershipPeerMessage;
}

/** Time has passed; sent when `nextWakeUp` says so. */
export interface TimePassed {
  readonly kind: 'timePassed';
}

/** A configuration is in force at this entry host. */
export interface ConfigurationChanged {
  readonly kind: 'configurationChanged';
  readonly generation: Generation;
  readonly entryHosts: readonly ConfiguredEntryHost[];
}

/** Rooms of the pools that this entry host schedules now; replaces what was said before. */
export interface RoomsChanged {
  readonly kind: 'roomsChanged';
  readonly rooms: readonly PoolCapacity[];
}

/** This entry host begins to leave or is drained, or is restored. */
export interface LeavingChanged {
  readonly kind: 'leavingChanged';
  readonly leaving: boolean;
}

/** This process ends: its incarnation is dead by its own word. */
export interface Departed {
  readonly kind: 'departed';
}

/** The platform's lagging list of hosts. */
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

/** A message is to be sent; losing it is allowed. */
export interface SendToPeer {
  readonly kind: 'sendToPeer';
  readonly entryHost: EntryHostId;
  readonly address: string;
  readonly message: MembershipPeerMessage;
}

/** One run of an entry host, with its failure domain. */
export interface MemberIncarnation {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
}

/** The members seen have changed, in this failure domain or in another. */
export interface MembersChanged {
  readonly kind: 'membersChanged';
  /** Alive and not suspected, over all failure domains. */
  readonly alive: readonly MemberIncarnation[];
  /** Incarnations declared dead since the last effect of this kind. */
  readonly dead: readonly MemberIncarnation[];
}

/** This entry host was declared dead, by mistake or after a pause, and goes on under a new incarnation. */
export interface IncarnationChanged {
  readonly kind: 'incarnationChanged';
  readonly previous: Incarnation;
  readonly incarnation: Incarnation;
}

/** Another process runs under this entry host's name: this one must stop. */
export interface Replaced {
  readonly kind: 'replaced';
  readonly by: Incarnation;
}

/** A peer has a later configuration in force than this entry host. */
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

/** A failure domain as this entry host last heard of it. */
export interface DomainView {
  readonly failureDomain: FailureDomainId;
  /** Age of the summary; undefined when none was ever heard. */
  readonly age: Milliseconds | undefined;
  readonly members: readonly DomainMember[];
  readonly delegates: readonly EntryHostId[];
  readonly generations: readonly GenerationCount[];
  /** Of every pool at a delegate, of the pools that it schedules elsewhere. */
  readonly rooms: readonly AgedPoolCapacity[];
}

export interface MembershipView {
  readonly self: MemberIncarnation;
  /** False until the own failure domain's table was heard of, or nobody answered for long enough. */
  readonly joined: boolean;
  /** True when another process runs under this entry host's name. */
  readonly replaced: boolean;
  /** The own failure domain, this entry host included. */
  readonly members: readonly MemberView[];
  readonly delegates: readonly EntryHostId[];
  readonly isDelegate: boolean;
  /** Every failure domain heard of, the own one included. */
  readonly domains: readonly DomainView[];
}

/** The membership as one entry host sees it. Pure but for its own state: no sockets, no timers. */
export interface Membership {
  /** Takes one message at monotonic time `now` and returns what is to be done, in order. */
  handle(message: MembershipMessage, now: Milliseconds): readonly MembershipEffect[];
  /** When `timePassed` is wanted next. */
  nextWakeUp(now: Milliseconds): Milliseconds;
  view(now: Milliseconds): MembershipView;
  /** The live entry host of a failure domain that owns a key; undefined when none is known. */
  tryGetOwner(key: string, failureDomain: FailureDomainId): DomainMember | undefined;
}

/** Times and numbers of the membership; each has a default. */
export interface MembershipPolicy {
  readonly heartbeatInterval: Milliseconds;
  /** Entry hosts that watch each entry host. */
  readonly watchers: number;
  /** Silence after which a watcher accuses. */
  readonly accuseAfter: Milliseconds;
  /** How long a suspicion stands before the suspect is declared dead. */
  readonly deadAfter: Milliseconds;
  readonly reportInterval: Milliseconds;
  /** Shortest time between two summaries of a domain to another one. */
  readonly summaryInterval: Milliseconds;
  /** Added to the summaries' interval for each other failure domain, which bounds a delegate's traffic. */
  readonly summaryIntervalPerDomain: Milliseconds;
  /** How often delegates relay all domains' status to every entry host of their domain. */
  readonly relayInterval: Milliseconds;
  /** How often one absent entry host of the settings is asked to join. */
  readonly joinInterval: Milliseconds;
  /** How long a starting entry host waits for an answer before it takes itself for the first. */
  readonly joinTimeout: Milliseconds;
  /** How long a dead entry host that the settings do not name is remembered. */
  readonly forgetAfter: Milliseconds;
}

export interface MembershipOptions {
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
  readonly incarnation: Incarnation;
  /** Entry hosts known at the start; a configuration replaces them. */
  readonly entryHosts: readonly ConfiguredEntryHost[];
  readonly startedAt: Milliseconds;
  readonly random: Random;
  readonly policy?: Partial<MembershipPolicy>;
}

/** The rows of one failure domain; internal to the library. */
export interface MemberTable {
  /** Merges a row; true when something changed. */
  merge(row: MemberRow, now: Milliseconds): boolean;
  tryGet(entryHost: EntryHostId): MemberRow | undefined;
  rows(): readonly MemberRow[];
  /** Rows of incarnations not declared dead, in order of the ring. */
  liveRows(): readonly MemberRow[];
  /** Live members that are not suspected; the same list until something changes. */
  members(): readonly DomainMember[];
  digest(): number;
  isSuspected(entryHost: EntryHostId): boolean;
  /** Members to which an entry host sends its heartbeats. */
  watchersOf(entryHost: EntryHostId): readonly EntryHostId[];
  /** Incarnations that died since the last call. */
  collectNewlyDead(): readonly {
    readonly entryHost: EntryHostId;
    readonly incarnation: Incarnation;
  }[];
  /** Drops dead rows unchanged since `before` whose entry host is not in `entryHosts`. */
  removeExpired(entryHosts: ReadonlySet<EntryHostId>, before: Milliseconds): void;
}

/** Finds silent members; internal to the library. */
export interface FailureDetector {
  /** Notes a message that came straight from a member. */
  recordContact(entryHost: EntryHostId, now: Milliseconds): void;
  /** Starts every wait anew, after a pause of this process. */
  restartTimeouts(now: Milliseconds): void;
  /** Accuses and declares dead what is due; returns the rows that changed. */
  detectFailures(now: Milliseconds): readonly MemberRow[];
  /** True while a suspicion of this host's own is open, so that members are to be probed. */
  shouldProbe(): boolean;
  /** Entry hosts that the platform lists. */
  setListedHosts(entryHosts: ReadonlySet<EntryHostId>): void;
}

/** What is known of failure domains beyond their members' liveness; internal to the library. */
export interface DomainDirectory {
  recordReport(message: HostReported, now: Milliseconds): void;
  recordSummary(message: DomainSummarised, now: Milliseconds): void;
  recordStatuses(message: DomainsRelayed, now: Milliseconds): void;
  recordRemoteCapacities(message: RoomsRelayed, now: Milliseconds): void;
  /**
   * Takes a member list and returns the incarnations that are gone from it. A list that is not the
   * one that the domain's status tells is passed over.
   */
  updateMembers(message: DomainMembersSent): readonly DomainMember[];
  membersOf(failureDomain: FailureDomainId): readonly DomainMember[];
  /** Domains whose member list is not the one that their status tells. */
  listOutdatedDomains(): readonly FailureDomainId[];
  listStatuses(now: Milliseconds): readonly DomainStatus[];
  listCapacities(failureDomain: FailureDomainId, now: Milliseconds): readonly AgedPoolCapacity[];
  /** Rooms of the pools that an entry host of this domain reported, in the other domains. */
  listRemoteCapacitiesFor(
    entryHost: EntryHostId,
    now: Milliseconds,
  ): readonly RemoteCapacityColumns[];
  /** Sums up the own domain from its members' reports. */
  summariseOwnDomain(members: readonly DomainMember[], now: Milliseconds): OwnDomainSummary;
  tryGetStatusAge(failureDomain: FailureDomainId, now: Milliseconds): Milliseconds | undefined;
}

/** The own failure domain as a delegate sums it up. */
export interface OwnDomainSummary {
  readonly status: DomainStatus;
  readonly rooms: PoolCapacityColumns;
}

/** Due times of periodic work; internal to the library. */
export interface PeriodicSchedule {
  /** True once an interval, and then the next time is set. */
  isDue(name: string, interval: Milliseconds, now: Milliseconds): boolean;
  /** When work of a name is due next; `now` when it was never asked for. */
  nextDue(name: string, now: Milliseconds): Milliseconds;
}

/** What the parts of a membership share; internal to the library. */
export interface MembershipContext {
  readonly failureDomain: FailureDomainId;
  readonly policy: MembershipPolicy;
  readonly table: MemberTable;
  readonly directory: DomainDirectory;
  readonly schedule: PeriodicSchedule;
  readonly ownerSelector: OwnerSelector;
  /** What the settings and this process say; replaced as a whole. */
  readonly localState: LocalState;
  self(): MemberRow;
  /** Live members of a failure domain, those suspected left out. */
  membersOf(failureDomain: FailureDomainId): readonly DomainMember[];
  delegatesOf(failureDomain: FailureDomainId): readonly DomainMember[];
  /** Position of this host among its domain's delegates; -1 when it is none. */
  delegateIndex(): number;
  emit(effect: MembershipEffect): void;
  /** Sends to an entry host; does nothing when its address is unknown. */
  send(entryHost: EntryHostId, message: MembershipPeerMessage, address?: string): void;
  /** Sends to every other live member of the own failure domain. */
  broadcast(message: MembershipPeerMessage): void;
}

/** State that messages of the own process set; internal to the library. */
export interface LocalState {
  entryHosts: readonly ConfiguredEntryHost[];
  generation: Generation;
  capacities: readonly PoolCapacity[];
}

/** Rendezvous hashing with its results kept as long as a list of members stands; internal to the library. */
export interface OwnerSelector {
  getDelegates(members: readonly DomainMember[]): readonly DomainMember[];
  tryGetOwner(key: string, members: readonly DomainMember[]): DomainMember | undefined;
}

/** Holds the own row, which more than one part reads; internal to the library. */
export interface OwnRowHolder {
  row: MemberRow;
}

/** The own row and what happens to it; internal to the library. */
export interface OwnRow {
  /** Changes what this host says of itself and tells the domain. */
  update(change: Partial<Pick<MemberRow, 'leaving' | 'dead'>>, now: Milliseconds): void;
  /** Answers what the table says of this host: refutes an accusation, or takes a new incarnation. */
  reconcile(now: Milliseconds): void;
  isReplaced(): boolean;
}

/** One part of the exchange of summaries; internal to the library. */
export interface PeriodicTask {
  run(now: Milliseconds): void;
}

/** Asks for and gives lists of members; internal to the library. */
export interface MemberListExchange {
  /** Takes another domain's summary; passes it on when this host is no delegate. */
  handleSummary(message: DomainSummarised, now: Milliseconds): void;
  /** Asks a host for the lists of those domains whose list here is out of date. */
  requestOutdated(
    from: EntryHostId,
    domains: readonly FailureDomainId[],
    address: string | undefined,
    now: Milliseconds,
  ): void;
  answerRequest(message: DomainMembersRequested): void;
}

/** Heartbeats and reconciliation within a failure domain; internal to the library. */
export interface TableExchange {
  requestSync(entryHost: EntryHostId, address?: string): void;
  /** Tells a host that lives of its accusation, which it may not have heard of, so that it can refute it. */
  sendAccusation(entryHost: EntryHostId): void;
  sendHeartbeats(): void;
  handleHeartbeat(heartbeat: Heartbeat, now: Milliseconds): void;
  answerSync(message: SyncRequested): void;
  /** Merges a peer's table and tells it what it lacks. */
  handleSync(message: Synced, now: Milliseconds): void;
}

/** Handles messages of other entry hosts; internal to the library. */
export interface PeerReceiver {
  receive(message: MembershipPeerMessage, now: Milliseconds): void;
}

/** Tells of changed members; internal to the library. */
export interface ChangeReporter {
  recordDead(failureDomain: FailureDomainId, members: readonly DomainMember[]): void;
  report(): void;
}

/** One entry host of a simulation; for tests. */
export interface SimulatedMember {
  readonly id: EntryHostId;
  readonly membership: Membership;
  running: boolean;
  paused: boolean;
  readonly backlog: MembershipMessage[];
  /** Effects other than messages, in order. */
  readonly effects: MembershipEffect[];
}

/** Many memberships on virtual time; for tests. */
export interface SimulatedMembers {
  readonly clock: VirtualClock;
  /** Cut links as `from to`; `*` stands for every host. */
  readonly failedLinks: Set<string>;
  /** Messages sent so far by kind. */
  readonly sentCounts: Map<MembershipPeerMessage['kind'], number>;
  host(id: EntryHostId): SimulatedMember;
  hosts(): readonly SimulatedMember[];
  /** Starts a new process under a name. */
  start(id: EntryHostId): SimulatedMember;
  /** Ends a process without a word. */
  stop(id: EntryHostId): void;
  pause(id: EntryHostId): void;
  resume(id: EntryHostId): void;
  deliver(id: EntryHostId, message: MembershipMessage): void;
}
