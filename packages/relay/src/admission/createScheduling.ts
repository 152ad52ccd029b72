import type { Clock, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createFleetSize from '../decisions/createFleetSize';
import isLargeFleet from '../decisions/isLargeFleet';
import type { ServerEmbargo, SharedQuota } from '../decisions/types';
import type { LoopDelay } from '../lateness/types';
import type { DutyFields } from '../duties/types';
import type { ClusterStateCache, FleetRole, PeerAddress, PeerTable } from '../types';
import createSchedulerClient from './createSchedulerClient';
import createSchedulerSelector from './createSchedulerSelector';
import createSchedulerView from './createSchedulerView';
import createSlotLedger from './createSlotLedger';
import listSlotOwners from './listSlotOwners';
import listSchedulerCandidates from './listSchedulerCandidates';
import type {
  Admission,
  HostReport,
  LocalAdmission,
  Respond,
  SchedulerRequest,
  SchedulerResponse,
  SchedulerStatus,
  Sender,
  SlotPreviewer,
} from './types';
import type { FindingsReport } from '../findings/types';
import type { Pools } from '../pools/types';

/** A scheduler without its store for this long is replaced as the watcher of its domain. */
const STORE_LOSS_PATIENCE: Milliseconds = 300;

interface SchedulingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: PeerAddress;
  readonly local: LocalAdmission;
  readonly pools: Pools;
  readonly quota: SharedQuota;
  readonly embargo: ServerEmbargo;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly loopDelay: Pick<LoopDelay, 'get' | 'getArrivalTime' | 'afterSilence'>;
  /** Whether this host knows a configuration and the backend servers. */
  readonly hasClusterState: () => boolean;
  readonly send: (host: PeerAddress, message: SchedulerRequest) => void;
  /** Called with the status of the scheduler, or the report of a host, that may know more. */
  readonly onVersions: (host: SchedulerStatus | HostReport) => void;
  /** Called when this host starts or stops granting slots. */
  readonly onRoleChange: () => void;
  /** The duties' part of this host's reports and statuses; absent where there are no duties. */
  readonly dutyFields: DutyFields;
}

interface Scheduling {
  readonly admission: Admission & SlotPreviewer;
  getRole(): FleetRole;
  /** Sets the registered hosts other than this one. */
  setPeers(peers: readonly PeerAddress[]): void;
  handleRequest(sender: Sender, message: SchedulerRequest, respond: Respond): void;
  handleResponse(sender: Sender, message: SchedulerResponse): void;
  /** Follows a change of which other schedulers are reachable. */
  updateSharing(): void;
  /** Tells the hosts that this one schedules about a change of the cluster state. */
  announceStatus(): void;
  /** Returns the host that schedules this one, or would; undefined if this host does. */
  tryGetScheduler(): PeerAddress | undefined;
  /** Sends what was found to the hosts that this one schedules; returns their number. */
  sendToScheduled(report: FindingsReport): number;
  /** Hands the hosts that this one schedules over to the next candidate. */
  resign(): void;
  stop(): void;
}

/**
 * Connects this host's part as a scheduler of other hosts with its part as a client of a scheduler.
 * In a small fleet it is neither: each host grants its own slots.
 */
export default function createScheduling(options: SchedulingOptions): Scheduling {
  const { clock, self, local, pools, quota, stateCache, peerTable } = options;
  const fleetSize = createFleetSize();
  let peers: readonly PeerAddress[] = [];
  let isLarge = false;
  let isResigning = false;
  let storeLostSince: Milliseconds | undefined;

  function countFleetHosts(): number {
    const atLeast = peers.length + 1;
    return isLarge ? Math.max(fleetSize.get(), atLeast) : atLeast;
  }

  function isGranting(): boolean {
    return selector.getChoice().kind === 'self' || ledger.countHosts() > 0;
  }

  function listCandidates(): readonly PeerAddress[] {
    const registered = stateCache.isRegistered ? [...peers, self] : peers;
    return listSchedulerCandidates({ self, peers: registered });
  }

  /** Returns whether this host is the first candidate after its scheduler. */
  function isNextCandidate(): boolean {
    const scheduler = selector.tryGetScheduler();
    const next = listCandidates().find(({ entryHost }) => entryHost !== scheduler?.entryHost);
    return scheduler !== undefined && next?.entryHost === self.entryHost;
  }

  function getRole(): FleetRole {
    const isStoreLost =
      storeLostSince !== undefined && clock.now() - storeLostSince >= STORE_LOSS_PATIENCE;
    return {
      isLarge,
      isGranting: isGranting(),
      isStoreSubstitute: isStoreLost && isNextCandidate(),
      ownHosts: ledger.countHosts() + 1,
      fleetHosts: countFleetHosts(),
    };
  }

  function updateSharing(): void {
    const now = clock.now();
    const reachable = peerTable.listReachable(now);
    const ownHosts = ledger.countHosts() + 1;
    if (isLarge && isGranting()) {
      fleetSize.record(ownHosts + reachable.reduce((sum, { hosts }) => sum + hosts, 0), now);
    }
    const fleetHosts = countFleetHosts();
    const others = isLarge ? reachable : peers;
    const names = others.map(({ entryHost }) => entryHost);
    const grantingHosts = isGranting() ? [self.entryHost, ...names] : names;
    const fleet = { isLarge, self, peers, grantingHosts, ownHosts, fleetHosts };
    quota.setFleet({ fleetHosts, ownHosts });
    const registeredHosts = peers.map(({ entryHost }) => entryHost);
    pools.setSharing({ ...fleet, ...listSlotOwners(fleet), registeredHosts });
  }

  function getStatus(): SchedulerStatus {
    return {
      ...stateCache.getVersions(),
      ...self,
      kind: 'status',
      isServing: options.hasClusterState(),
      isStopping: isResigning,
      isStoreReachable: stateCache.isStoreReachable,
      fleetHosts: countFleetHosts(),
      loopDelay: options.loopDelay.get(),
      windowTime: options.dutyFields.tryGetWindowTime(),
    };
  }

  function handleRoleChange(): void {
    updateSharing();
    options.onRoleChange();
  }

  const ledger = createSlotLedger({
    ...options,
    admission: local,
    getStatus,
    onHostsChange: handleRoleChange,
  });
  const selector = createSchedulerSelector({
    ...options,
    ownName: self.entryHost,
    sendReport: (host) =>
      options.send(host, {
        ...stateCache.getVersions(),
        ...self,
        kind: 'report',
        held: client.listHeld(),
        waiting: client.listWaiting(),
        loopDelay: options.loopDelay.get(),
        usage: options.dutyFields.tryGetReport('scheduler'),
      }),
    sendProbe: (host) => options.send(host, { kind: 'probe' }),
    sendLeave: (host) => options.send(host, { kind: 'leave' }),
    hasWaiting: () => client.listWaiting().length > 0,
    onChange(choice) {
      client.handleChoice(choice);
      handleRoleChange();
    },
  });
  const client = createSchedulerClient({ ...options, selector });
  const lastStatus = createSchedulerView({ clock, selector });

  function isScheduler({ entryHost }: Sender): boolean {
    return selector.tryGetScheduler()?.entryHost === entryHost;
  }

  function recordStatus(sender: Sender, status: SchedulerStatus): void {
    if (isScheduler(sender)) {
      lastStatus.record(status);
      storeLostSince = status.isStoreReachable ? undefined : (storeLostSince ?? clock.now());
      fleetSize.record(status.fleetHosts, clock.now());
      updateSharing();
      options.onVersions(status);
    }
    selector.handleStatus(status);
  }

  return {
    admission: { ...client, preview: local.preview, tryGetSchedulerView: lastStatus.tryGet },
    getRole,
    setPeers(next) {
      peers = next;
      isLarge = isLargeFleet(peers.length);
      selector.setCandidates(isLarge ? listCandidates() : [self]);
      updateSharing();
    },
    handleRequest(sender, message, respond) {
      ledger.handle(sender, message, respond);
      if (message.kind === 'report') {
        options.onVersions(message);
      }
    },
    handleResponse(sender, message) {
      if (message.kind === 'status') {
        selector.recordHeard(sender.entryHost);
        recordStatus(sender, message);
      } else if (isScheduler(sender)) {
        selector.recordHeard(sender.entryHost);
        client.handle(message);
      }
    },
    updateSharing,
    announceStatus: ledger.announceStatus,
    tryGetScheduler: selector.tryGetScheduler,
    sendToScheduled: ledger.sendFindings,
    resign() {
      isResigning = true;
      ledger.announceStatus();
    },
    stop() {
      selector.stop();
      ledger.stop();
    },
  };
}
