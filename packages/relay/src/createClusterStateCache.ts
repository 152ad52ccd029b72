import type { Clock, EntryHostId, FailureDomainId, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createEvacuationList from './decisions/createEvacuationList';
import listReachablePeers from './decisions/listReachablePeers';
import listStateChanges from './decisions/listStateChanges';
import createVersionedValue from './decisions/createVersionedValue';
import createRoster from './decisions/createRoster';
import createServerDirectory from './createServerDirectory';
import selectNewerState from './decisions/selectNewerState';
import type {
  ClusterState,
  ClusterStateCache,
  ClusterStateChange,
  ClusterStateVersions,
  ListedServer,
  PeerAddress,
  RelayConfiguration,
  Rollout,
} from './types';

/**
 * Time after the store's return from an older copy in which the operator and the servers write
 * again what it lost.
 */
const RESTORE_GRACE_PERIOD_MILLISECONDS = 3_000;

interface ClusterStateCacheOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly ownName: EntryHostId;
  readonly onConfiguration: (configuration: RelayConfiguration) => void;
  readonly onServers: (servers: readonly ListedServer[]) => void;
  readonly onEvacuated: (
    evacuated: ReadonlySet<FailureDomainId>,
    returned: readonly FailureDomainId[],
  ) => void;
  readonly onRollouts: (rollouts: readonly Rollout[]) => void;
  /** Called with the registered hosts other than this one. */
  readonly onPeers: (peers: readonly PeerAddress[]) => void;
  /** Called when the store has lost what was written to it since an older copy. */
  readonly onStoreRestored: () => void;
}

/**
 * Caches the cluster state from the store and from peers. A configuration, server list or set of
 * evacuated failure domains is never replaced by an older version.
 */
export default function createClusterStateCache(
  options: ClusterStateCacheOptions,
): ClusterStateCache {
  const { clock, logger } = options;
  const servers = createServerDirectory({ clock, logger, onServers: options.onServers });
  const unreachableSubjects = new Set<string>();
  let configuration: RelayConfiguration | undefined;
  const evacuations = createEvacuationList();
  const roster = createRoster();
  const rollouts = createVersionedValue<readonly Rollout[]>();
  let storeEra: number | undefined;
  let restoreTimer: Timer | undefined;

  function applyConfiguration(next: RelayConfiguration, from: string): void {
    if (configuration !== undefined && next.version <= configuration.version) {
      return;
    }
    logger.info({ version: next.version, before: configuration?.version, from }, 'configuration');
    configuration = next;
    options.onConfiguration(next);
  }

  /** Applies the listed evacuations as far as they are in force now. */
  function publishEvacuated(from: string): void {
    const before = evacuations.current.size;
    const returned = evacuations.update(clock.now());
    const { current, version } = evacuations;
    if (current.size !== before || returned.length > 0) {
      const fields = { domains: [...current], returned, version, from };
      logger.info(fields, 'evacuated failure domains');
    }
    options.onEvacuated(current, returned);
  }

  function applyEvacuated(
    domains: readonly FailureDomainId[],
    version: number,
    from: string,
  ): void {
    if (evacuations.replace(domains, version)) {
      publishEvacuated(from);
    }
  }

  function getVersions(): ClusterStateVersions {
    return {
      configurationVersion: configuration?.version ?? -1,
      serversVersion: servers.version,
      evacuatedVersion: evacuations.version,
      rosterVersion: roster.version,
      rolloutsVersion: rollouts.version,
      storeEra,
    };
  }

  function getState(): ClusterState {
    return {
      ...getVersions(),
      configuration,
      servers: servers.list(),
      evacuated: [...evacuations.current],
      peers: roster.hosts,
      rollouts: rollouts.value,
    };
  }

  function publishPeers(): void {
    const others = (roster.hosts ?? []).filter(({ entryHost }) => entryHost !== options.ownName);
    logger.info({ peers: others.map(({ entryHost }) => entryHost) }, 'peer list changed');
    options.onPeers(others);
  }

  function applyRoster(hosts: readonly PeerAddress[], version: number): void {
    if (roster.replace(listReachablePeers(hosts, logger), version)) {
      publishPeers();
    }
  }

  function applyEra(era: number, from: string): void {
    if (era > (storeEra ?? -1)) {
      // A host that learns of the store's first answer has lost nothing.
      if (storeEra !== undefined) {
        logger.warn({ era, before: storeEra, from }, 'store returned from an older copy');
        const now = clock.now();
        servers.markStoreRestored(now);
        evacuations.markStoreRestored(now + RESTORE_GRACE_PERIOD_MILLISECONDS);
        restoreTimer?.cancel();
        restoreTimer = clock.after(RESTORE_GRACE_PERIOD_MILLISECONDS, () => {
          publishEvacuated('restored store');
        });
        options.onStoreRestored();
      }
      storeEra = era;
    }
  }

  function apply(change: ClusterStateChange, from: 'store' | 'peer'): void {
    switch (change.kind) {
      case 'configuration':
        applyConfiguration(change.configuration, from);
        return;
      case 'servers':
        servers.apply(change.servers, change.version, from);
        return;
      case 'evacuated':
        applyEvacuated(change.failureDomains, change.version, from);
        return;
      case 'rollouts':
        if (rollouts.replace(change.rollouts, change.version)) {
          options.onRollouts(change.rollouts);
        }
        return;
      case 'peers':
        applyRoster(change.peers, change.version);
        return;
      case 'storeEra':
        applyEra(change.era, from);
        return;
      case 'storeLost':
        unreachableSubjects.add(change.subject);
        logger.warn({ subject: change.subject, reason: change.reason }, 'store unreachable');
        servers.markStoreUnreachable();
        return;
      case 'storeRegained':
        unreachableSubjects.delete(change.subject);
        logger.info({ subject: change.subject }, 'store reachable');
        servers.markStoreReachable(clock.now());
        return;
      default:
        change satisfies never;
    }
  }

  return {
    get evacuated() {
      return evacuations.current;
    },
    get isRegistered() {
      return roster.has(options.ownName);
    },
    get isStoreReachable() {
      return unreachableSubjects.size === 0;
    },
    apply: (change) => apply(change, 'store'),
    merge: (state) => listStateChanges(state).forEach((change) => apply(change, 'peer')),
    get: getState,
    getSince: (known) => selectNewerState(getState(), known),
    getVersions,
    countIgnoredServers: servers.countIgnored,
    upsertPeer(peer) {
      if (listReachablePeers([peer], logger).some(roster.upsert)) {
        publishPeers();
      }
    },
    clearUnreachableSubjects: () => unreachableSubjects.clear(),
    stop() {
      servers.stop();
      restoreTimer?.cancel();
    },
  };
}
