import type { Milliseconds, Timer } from '@rattanreel/core';
import isStoreWatcher from './decisions/isStoreWatcher';
import type { ClusterStateCache, ClusterStateSource, FleetRole, RelayContext } from './types';

/** Interval at which the host checks whether it must watch the store. */
const CHECK_INTERVAL: Milliseconds = 250;
/**
 * Times after the start at which the hosts are listed: hosts that start together register within
 * seconds. The first is later when the whole system starts, since nothing is registered before.
 */
const INITIAL_LIST_TIMES: readonly Milliseconds[] = [0, 1_500, 4_000, 8_000];
const BOOTSTRAP_LIST_TIMES: readonly Milliseconds[] = [2_500, 4_500, 8_000];
/** Minimum interval of later lists; new hosts are usually known earlier, from their messages. */
const LIST_INTERVAL: Milliseconds = 20_000;

interface StoreWatcherOptions {
  readonly context: RelayContext;
  readonly source: ClusterStateSource;
  readonly stateCache: ClusterStateCache;
  readonly getRole: () => FleetRole;
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Called after the first attempt to list the hosts. */
  readonly onListed: (isListed: boolean) => void;
}

interface StoreWatcher {
  isWatching(): boolean;
  stop(): void;
}

/**
 * Watches the platform's store while this host is one of its watchers, and lists the hosts
 * periodically.
 */
export default function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const { context, source, stateCache, getRole } = options;
  const { clock, random, logger } = context;
  const startedAt = clock.now();
  const listTimes = options.isBootstrap ? BOOTSTRAP_LIST_TIMES : INITIAL_LIST_TIMES;
  let stopWatching: (() => void) | undefined;
  let checkTimer: Timer | undefined;
  let listTimer: Timer | undefined;
  let listCount = 0;
  let isListed = false;
  let isStopped = false;

  function hasClusterState(): boolean {
    const versions = stateCache.getVersions();
    return versions.configurationVersion >= 0 && versions.serversVersion >= 0;
  }

  function updateWatch(): void {
    const role = isListed || stateCache.getVersions().rosterVersion >= 0 ? getRole() : undefined;
    const shouldWatch = isStoreWatcher({
      role,
      hasClusterState: hasClusterState(),
      age: clock.now() - startedAt,
    });
    if (shouldWatch !== (stopWatching !== undefined)) {
      logger.info({ shouldFollow: shouldWatch, role }, 'store watch changed');
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
    const listed = await source.listPeers();
    if (isStopped) {
      return;
    }
    if (listed !== undefined) {
      isListed = true;
      stateCache.apply({ kind: 'peers', ...listed });
      updateWatch();
    }
    options.onListed(listed !== undefined);
  }

  /**
   * Returns whether this host must list the hosts itself: one that has a scheduler receives them
   * from there.
   */
  function mustList(): boolean {
    const role = getRole();
    return !isListed || !role.isLarge || role.isGranting;
  }

  function scheduleList(delay: Milliseconds): void {
    listTimer = clock.after(delay, listPeriodically);
  }

  function listPeriodically(): void {
    if (isStopped) {
      return;
    }
    if (mustList()) {
      refreshPeers().catch((error: unknown) =>
        logger.error({ error: String(error) }, 'failed to list hosts'),
      );
    }
    listCount += 1;
    const due = listTimes[listCount];
    scheduleList(
      due === undefined
        ? LIST_INTERVAL * (1 + random.next())
        : due - (listTimes[listCount - 1] ?? 0),
    );
  }

  scheduleList(listTimes[0] ?? 0);
  checkPeriodically();
  return {
    isWatching: () => stopWatching !== undefined,
    stop() {
      isStopped = true;
      checkTimer?.cancel();
      listTimer?.cancel();
      stopWatching?.();
    },
  };
}
