import type { Clock, Timer } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import countValues from './decisions/countValues';
import createServerList from './decisions/createServerList';
import tryGetServerDefect from './decisions/tryGetServerDefect';
import type { ListedServer, ServerDefect } from './types';

/** Interval at which servers that the store no longer lists, but that are retained, are checked. */
const RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS = 250;
/** Characters of another writer's text that a log line shows. */
const MAXIMUM_LOGGED_CHARACTERS = 128;

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
  /**
   * Replaces the list unless it is older than the current one; a peer's also if it is as old.
   * Entries that name no backend server are left out and logged once.
   */
  apply(entries: readonly ListedServer[], version: number, from: 'store' | 'peer'): void;
  list(): readonly ListedServer[];
  /** Counts the entries that were left out, by defect. */
  countIgnored(): ReadonlyMap<ServerDefect, number>;
  readonly version: number;
  stop(): void;
}

/** Holds the backend servers in use and reports each change, also when a retained one expires. */
export default function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, logger } = options;
  const servers = createServerList();
  let ignored: ReadonlyMap<string, ServerDefect> = new Map();
  let timer: Timer | undefined;

  const list = (): readonly ListedServer[] => [...servers.get(clock.now()).values()];

  function publish(): void {
    options.onServers(list());
    timer?.cancel();
    timer = servers.hasRetainedServers(clock.now())
      ? clock.after(RETAINED_SERVERS_CHECK_INTERVAL_MILLISECONDS, publish)
      : undefined;
  }

  /** Returns the entries that name a backend server, and logs those that newly do not. */
  function selectServers(entries: readonly ListedServer[], from: string): readonly ListedServer[] {
    const defects = new Map<string, ServerDefect>();
    const selected = entries.filter((server) => {
      const defect = tryGetServerDefect(server);
      if (defect === undefined) {
        return true;
      }
      defects.set(server.id, defect);
      if (ignored.get(server.id) !== defect) {
        const [id, address] = [server.id, server.address].map((text) =>
          text.slice(0, MAXIMUM_LOGGED_CHARACTERS),
        );
        const { slots, version } = server;
        logger.warn({ id, address, slots, version, defect, from }, 'backend server ignored');
      }
      return false;
    });
    ignored = defects;
    return selected;
  }

  return {
    apply(entries, version, from) {
      if (from === 'peer' ? version <= servers.version : version < servers.version) {
        return;
      }
      const listed = selectServers(entries, from);
      if (servers.replace(listed, version, clock.now())) {
        const draining = listed.filter(({ isDraining }) => isDraining).map(({ id }) => id);
        logger.info({ count: listed.length, draining, version, from }, 'backend servers');
        publish();
      }
    },
    list,
    countIgnored: () => countValues(ignored.values()),
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
