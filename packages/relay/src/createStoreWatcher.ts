import type { EntryHostId, FailureDomainId, Milliseconds, Timer } from '@rattanreel/core';
import isStoreWatcher from './decisions/isStoreWatcher';
import type { ClusterStateCache, ClusterStateSource, PeerTable, RelayContext } from './types';

/** Interval at which the host checks whether it must watch the store. */
const CHECK_INTERVAL: Milliseconds = 500;
/**
 * Times after the start at which the hosts are listed: hosts that start together register within
 * seconds.
 */
const INITIAL_LIST_TIMES: readonly Milliseconds[] = [0, 1_500, 4_000, 8_000];
/** Minimum interval of later lists; new hosts are usually known earlier, from their messages. */
const LIST_INTERVAL: Milliseconds = 20_000;

interface StoreWatcherOptions {
  readonly context: RelayContext;
  readonly source: ClusterStateSource;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly ownName: EntryHostId;
  readonly ownDomain: FailureDomainId;
}

interface StoreWatcher {
  stop(): void;
}

/**
 * Watches the platform's store while this host is one of its watchers, and lists the hosts
 * periodically.
 */
export default function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const { context, source, stateCache, peerTable } = options;
  const { clock, random, logger } = context;
  const startedAt = clock.now();
  let stopWatching: (() => void) | undefined;
  let checkTimer: Timer | undefined;
  let listTimer: Timer | undefined;
  let listCount = 0;
  let isStopped = false;

  function updateWatch(): void {
    const state = stateCache.get();
    const now = clock.now();
    const shouldWatch = isStoreWatcher({
      ownName: options.ownName,
      ownDomain: options.ownDomain,
      peers: state.peers,
      reachablePeers: peerTable.listReachable(now),
      hasClusterState: state.configuration !== undefined && state.serversVersion >= 0,
      age: now - startedAt,
    });
    if (shouldWatch !== (stopWatching !== undefined)) {
      logger.info({ shouldFollow: shouldWatch, peers: state.peers?.length }, 'store watch changed');
    }
    if (shouldWatch) {
      stopWatching ??= source.watch(stateCache.apply);
    } else if (stopWatching !== undefined) {
      stopWatching();
      stopWatching = undefined;
      stateCache.clearUnreachableSubjects();
    }
  }

  function checkPeriodically(): void {
    if (!isStopped) {
      updateWatch();
      checkTimer = clock.after(CHECK_INTERVAL, checkPeriodically);
    }
  }

  async function refreshPeers(): Promise<void> {
    const peers = await source.listPeers();
    if (peers !== undefined && !isStopped) {
      const listed = new Set(peers.map(({ entryHost }) => entryHost));
      const unlistedPeers = peerTable
        .listReachable(clock.now())
        .filter((peer) => !listed.has(peer.entryHost));
      const additionalPeers = unlistedPeers.map(({ entryHost, address, failureDomain }) => ({
        entryHost,
        address,
        failureDomain,
      }));
      stateCache.apply({ kind: 'peers', peers: [...peers, ...additionalPeers] });
      updateWatch();
    }
  }

  function refreshPeriodically(): void {
    if (isStopped) {
      return;
    }
    refreshPeers().catch((error: unknown) =>
      logger.error({ error: String(error) }, 'failed to list hosts'),
    );
    listCount += 1;
    const due = INITIAL_LIST_TIMES[listCount];
    const delay =
      due === undefined
        ? LIST_INTERVAL * (1 + random.next())
        : due - (INITIAL_LIST_TIMES[listCount - 1] ?? 0);
    listTimer = clock.after(delay, refreshPeriodically);
  }

  refreshPeriodically();
  checkPeriodically();
  return {
    stop() {
      isStopped = true;
      checkTimer?.cancel();
      listTimer?.cancel();
      stopWatching?.();
    },
  };
}
