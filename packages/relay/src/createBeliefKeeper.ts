import type { Clock, EntryHostId, FailureDomainId, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createServerList from './decisions/createServerList';
import type { BeliefKeeper, ListedServer, PeerAddress, RelayConfiguration } from './types';

/** Time between two looks at entries that are kept for their return. */
const HOLD_LOOK_INTERVAL = 250;

interface BeliefKeeperOptions {
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

/** What this host believes of the world outside, whoever told it. Nothing in it ever becomes older. */
export default function createBeliefKeeper(options: BeliefKeeperOptions): BeliefKeeper {
  const { clock, logger } = options;
  const servers = createServerList();
  const lostSubjects = new Set<string>();
  let configuration: RelayConfiguration | undefined;
  let evacuated: ReadonlySet<FailureDomainId> = new Set();
  let evacuatedVersion = -1;
  let peers: readonly PeerAddress[] | undefined;
  let holdTimer: Timer | undefined;

  function applyConfiguration(next: RelayConfiguration, from: string): void {
    if (configuration !== undefined && next.version <= configuration.version) {
      return;
    }
    logger.info({ version: next.version, before: configuration?.version, from }, 'configuration');
    configuration = next;
    options.onConfiguration(next);
  }

  function tellServers(): void {
    const now = clock.now();
    options.onServers([...servers.get(now).values()]);
    holdTimer?.cancel();
    holdTimer = servers.isHolding(now) ? clock.after(HOLD_LOOK_INTERVAL, tellServers) : undefined;
  }

  function applyServers(listed: readonly ListedServer[], version: number, from: string): void {
    if (servers.replace(listed, version, clock.now())) {
      const draining = listed.filter(({ isDraining }) => isDraining).map(({ id }) => id);
      logger.info({ count: listed.length, draining, version, from }, 'backend servers');
      tellServers();
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
    const others = next.filter(({ entryHost }) => entryHost !== options.ownName);
    const isChanged = JSON.stringify(others) !== JSON.stringify(peers);
    peers = others;
    if (isChanged) {
      logger.info({ peers: peers.map(({ entryHost }) => entryHost) }, 'other hosts');
      options.onPeers(peers);
    }
  }

  return {
    get evacuated() {
      return evacuated;
    },
    get isStoreInReach() {
      return lostSubjects.size === 0;
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
          lostSubjects.add(change.subject);
          logger.warn({ subject: change.subject, reason: change.reason }, 'store lost');
          servers.noteStoreLost();
          return;
        case 'storeRegained':
          lostSubjects.delete(change.subject);
          logger.info({ subject: change.subject }, 'store regained');
          servers.noteStoreRegained(clock.now());
          return;
        default:
          change satisfies never;
      }
    },
    merge(beliefs) {
      if (beliefs.configuration !== undefined) {
        applyConfiguration(beliefs.configuration, 'peer');
      }
      if (beliefs.serversVersion > servers.version) {
        applyServers(beliefs.servers, beliefs.serversVersion, 'peer');
      }
      applyEvacuated(beliefs.evacuated, beliefs.evacuatedVersion, 'peer');
      if ((peers ?? []).length === 0 && (beliefs.peers ?? []).length > 0) {
        applyPeers(beliefs.peers ?? []);
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
    learnPeer({ entryHost, address, failureDomain }) {
      const known = (peers ?? []).find((peer) => peer.entryHost === entryHost);
      if (known?.address !== address) {
        const others = (peers ?? []).filter((peer) => peer.entryHost !== entryHost);
        applyPeers([...others, { entryHost, address, failureDomain }]);
      }
    },
    stopFollowing() {
      lostSubjects.clear();
    },
    stop() {
      holdTimer?.cancel();
    },
  };
}
