import type { Clock, Milliseconds } from '@rattanreel/core';
import type {
  ClusterStateChange,
  ClusterStateSource,
  ListedServer,
  PeerAddress,
  RelayConfiguration,
  Rollout,
  RolloutState,
} from '../types';
import type { TestHost } from './types';

const STORE_DELAY: Milliseconds = 4;

interface TestStoreOptions {
  readonly clock: Clock;
  readonly configuration: RelayConfiguration;
  readonly servers: readonly ListedServer[];
}

/**
 * Creates the store of a test fleet: registered hosts, a configuration that stays the same, and a
 * list of servers that may change.
 */
export default function createTestStore({ clock, configuration, servers }: TestStoreOptions) {
  const registered = new Map<string, PeerAddress>();
  const watchers = new Map<TestHost | undefined, (change: ClusterStateChange) => void>();
  let version = 1;
  let listedServers = servers;
  let serversVersion = 1;
  let rollouts: readonly Rollout[] = [];
  let rolloutsVersion = 1;
  let isDown = false;
  /** States of roll-outs that hosts have written. */
  const writes: RolloutState[] = [];

  function createSource(getHost: () => TestHost | undefined): ClusterStateSource {
    const countCall = (): void => {
      const host = getHost();
      if (host !== undefined) {
        host.traffic.storeCalls += 1;
      }
    };
    return {
      watch(listener) {
        const host = getHost();
        watchers.set(host, listener);
        countCall();
        clock.after(STORE_DELAY, () => {
          if (watchers.get(host) === listener) {
            listener({ kind: 'storeEra', era: 0 });
            listener({ kind: 'configuration', configuration });
            listener({ kind: 'servers', servers: listedServers, version: serversVersion });
            listener({ kind: 'evacuated', failureDomains: [], version: 1 });
            listener({ kind: 'rollouts', rollouts, version: rolloutsVersion });
          }
        });
        return () => watchers.delete(host);
      },
      async listPeers() {
        countCall();
        return { peers: [...registered.values()], version };
      },
      async register(peer) {
        countCall();
        version += 1;
        registered.set(peer.entryHost, peer);
        return true;
      },
      async recordRollout(rollout, state) {
        countCall();
        const known = rollouts.find(({ name }) => name === rollout.name);
        if (isDown || known?.objectVersion !== rollout.objectVersion) {
          return false;
        }
        writes.push(state);
        setRollouts([{ ...known, state }]);
        return true;
      },
      close: async () => undefined,
    };
  }

  /** Informs the hosts that watch the store. */
  function publish(change: ClusterStateChange): void {
    watchers.forEach((listener, host) =>
      clock.after(STORE_DELAY, () => {
        if (watchers.get(host) === listener && host?.isDown !== true) {
          listener(change);
        }
      }),
    );
  }

  /** Orders roll-outs, or replaces their state. */
  function setRollouts(next: readonly Rollout[]): void {
    rolloutsVersion += 1;
    rollouts = next.map((rollout) => ({ ...rollout, objectVersion: rolloutsVersion }));
    publish({ kind: 'rollouts', rollouts, version: rolloutsVersion });
  }

  return {
    createSource,
    setRollouts,
    getRollouts: () => rollouts,
    rolloutWrites: writes as readonly RolloutState[],
    /** Makes writes of roll-outs fail. */
    setDown(next: boolean): void {
      isDown = next;
    },
    /** Replaces the list of servers. */
    setServers(next: readonly ListedServer[]): void {
      listedServers = next;
      serversVersion += 1;
      publish({ kind: 'servers', servers: next, version: serversVersion });
    },
    /** Ends the watches of a process that was killed. */
    forget: (host: TestHost) => watchers.delete(host),
    countWatchers: () => watchers.size,
    countRegistered: () => registered.size,
  };
}
