import type { Clock, EntryHostId, FailureDomainId, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createServerList from './decisions/createServerList';
import type { ClusterStateCache, ListedServer, PeerAddress, RelayConfiguration } from './types';

/** Interval at which servers that the store no longer lists, but that are retained, are checked. */
const RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS = 250;

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
  readonly onPeers: (peers: readonly PeerAddress[]) => void;
}

/**
 * Caches the cluster state from the store and from peers. A configuration, server list or set of
 * evacuated failure domains is never replaced by an older version.
 */
export default function createClusterStateCache(
  options: ClusterStateCacheOptions,
): ClusterStateCache {
  const { clock, logger } = options;
  const servers = createServerList();
  const unreachableSubjects = new Set<string>();
  let configuration: RelayConfiguration | undefined;
  let evacuated: ReadonlySet<FailureDomainId> = new Set();
  let evacuatedVersion = -1;
  let peers: readonly PeerAddress[] | undefined;
  let retainedServersTimer: Timer | undefined;

  function applyConfiguration(next: RelayConfiguration, from: string): void {
    if (configuration !== undefined && next.version <= configuration.version) {
      return;
    }
    logger.info({ version: next.version, before: configuration?.version, from }, 'configuration');
    configuration = next;
    options.onConfiguration(next);
  }

  function publishServers(): void {
    const now = clock.now();
    options.onServers([...servers.get(now).values()]);
    retainedServersTimer?.cancel();
    retainedServersTimer = servers.hasRetainedServers(now)
      ? clock.after(RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS, publishServers)
      : undefined;
  }

  function applyServers(listed: readonly ListedServer[], version: number, from: string): void {
    if (servers.replace(listed, version, clock.now())) {
      const draining = listed.filter(({ isDraining }) => isDraining).map(({ id }) => id);
      logger.info({ count: listed.length, draining, version, from }, 'backend servers');
      publishServers();
    }
  }

  function applyEvacuated(
    domains: readonly FailureDomainId[],
    version: number,
    from: string,
  ): void {
    if (version <= evacuatedVersion) {
      return;
    }
    evacuatedVersion = version;
    const next = new Set(domains);
    const returned = [...evacuated].filter((domain) => !next.has(domain));
    if (next.size !== evacuated.size || returned.length > 0) {
      logger.info({ domains, returned, version, from }, 'evacuated failure domains');
    }
    evacuated = next;
    options.onEvacuated(next, returned);
  }

  function applyPeers(next: readonly PeerAddress[]): void {
    const otherPeers = next.filter(({ entryHost }) => entryHost !== options.ownName);
    const isChanged = JSON.stringify(otherPeers) !== JSON.stringify(peers);
    peers = otherPeers;
    if (isChanged) {
      logger.info({ peers: peers.map(({ entryHost }) => entryHost) }, 'peer list changed');
      options.onPeers(peers);
    }
  }

  return {
    get evacuated() {
      return evacuated;
    },
    get isStoreReachable() {
      return unreachableSubjects.size === 0;
    },
    apply(change) {
      switch (change.kind) {
        case 'configuration':
          applyConfiguration(change.configuration, 'store');
          return;
        case 'servers':
          applyServers(change.servers, change.version, 'store');
          return;
        case 'evacuated':
          applyEvacuated(change.failureDomains, change.version, 'store');
          return;
        case 'peers':
          applyPeers(change.peers);
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
    },
    merge(state) {
      if (state.configuration !== undefined) {
        applyConfiguration(state.configuration, 'peer');
      }
      if (state.serversVersion > servers.version) {
        applyServers(state.servers, state.serversVersion, 'peer');
      }
      applyEvacuated(state.evacuated, state.evacuatedVersion, 'peer');
      if ((peers ?? []).length === 0 && (state.peers ?? []).length > 0) {
        applyPeers(state.peers ?? []);
      }
    },
    get: () => ({
      configuration,
      servers: [...servers.get(clock.now()).values()],
      serversVersion: servers.version,
      evacuated: [...evacuated],
      evacuatedVersion,
      peers,
    }),
    getVersions: () => ({
      configurationVersion: configuration?.version ?? -1,
      serversVersion: servers.version,
      evacuatedVersion,
    }),
    upsertPeer({ entryHost, address, failureDomain }) {
      const known = (peers ?? []).find((peer) => peer.entryHost === entryHost);
      if (known?.address !== address) {
        const others = (peers ?? []).filter((peer) => peer.entryHost !== entryHost);
        applyPeers([...others, { entryHost, address, failureDomain }]);
      }
    },
    clearUnreachableSubjects() {
      unreachableSubjects.clear();
    },
    stop() {
      retainedServersTimer?.cancel();
    },
  };
}
