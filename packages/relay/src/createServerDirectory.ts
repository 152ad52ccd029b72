import type { Clock, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import createServerList from './decisions/createServerList';
import type { ListedServer } from './types';

/** Interval at which servers that the store no longer lists, but that are retained, are checked. */
const RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS = 250;

interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with the servers in use after each change. */
  readonly onServers: (servers: readonly ListedServer[]) => void;
}

interface ServerDirectory extends Pick<
  ReturnType<typeof createServerList>,
  'markStoreUnreachable' | 'markStoreReachable' | 'markStoreRestored'
> {
  /** Replaces the list unless it is older than the current one. */
  apply(listed: readonly ListedServer[], version: number, from: string): void;
  list(): readonly ListedServer[];
  readonly version: number;
  stop(): void;
}

/** Holds the backend servers in use and reports each change, also when a retained one expires. */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, logger } = options;
  const servers = createServerList();
  let timer: Timer | undefined;

  const list = (): readonly ListedServer[] => [...servers.get(clock.now()).values()];

  function publish(): void {
    options.onServers(list());
    timer?.cancel();
    timer = servers.hasRetainedServers(clock.now())
      ? clock.after(RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS, publish)
      : undefined;
  }

  return {
    apply(listed, version, from) {
      if (servers.replace(listed, version, clock.now())) {
        const draining = listed.filter(({ isDraining }) => isDraining).map(({ id }) => id);
        logger.info({ count: listed.length, draining, version, from }, 'backend servers');
        publish();
      }
    },
    list,
    get version() {
      return servers.version;
    },
    markStoreUnreachable: servers.markStoreUnreachable,
    markStoreReachable: servers.markStoreReachable,
    markStoreRestored: servers.markStoreRestored,
    stop() {
      timer?.cancel();
    },
  };
}
