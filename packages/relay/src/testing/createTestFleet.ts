import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import createHostCore from '../createHostCore';
import type { DutyOptions } from '../duties/types';
import type { ServerConnections } from '../servers/types';
import type { ListedServer, RelayBounds, RelayConfiguration } from '../types';
import createLoopDelay from '../lateness/createLoopDelay';
import createTestLoop from './createTestLoop';
import createTestNetwork from './createTestNetwork';
import createTestStore from './createTestStore';
import type { TestHost, TestLoop } from './types';

const SMALL_CAPACITY = 0.3;
const LARGE_CAPACITY = 1.4;
/** Hosts of each failure domain with more capacity than the others. */
const LARGE_HOSTS_PER_DOMAIN = 3;
/** Time of a poll; short, so that the turns of a host that is not blocked count as punctual. */
const SERVERS_PER_SUBNET = 250;
const POLL_TIME: Milliseconds = 2;
const BOUNDS: RelayBounds = {
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 430,
  quotaSlack: 110_000,
  quotaOver: 0.1,
  quotaWindow: 8_000,
  exposeShare: 0.1,
  exposeSlack: 50,
  coldFactor: 1.5,
  coldSlack: 5,
  shutdownGracePeriod: 8_000,
};
const EMPTY_CONFIGURATION: RelayConfiguration = {
  version: 1,
  routes: [],
  pools: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  customers: undefined,
};

interface TestFleetOptions {
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  /** Backend servers in place of `serversPerDomain` equal ones. */
  readonly servers?: readonly Partial<ListedServer>[];
  readonly configuration?: Partial<RelayConfiguration>;
  readonly seed?: number | undefined;
  /** Creates what a host needs for duties; absent where the fleet has none. */
  readonly createDuties?: (
    clock: Clock,
    hostClock: Clock,
    getHost: () => TestHost | undefined,
  ) => DutyOptions;
}

/**
 * Clock of one host: its timers wait while the host is frozen or its event loop blocked, and do not
 * run while it is down.
 */
function createHostClock(clock: Clock, loop: TestLoop, getHost: () => TestHost | undefined): Clock {
  return {
    ...clock,
    wallTime: () => new Date(clock.wallTime().getTime() + (getHost()?.wallOffset ?? 0)),
    after(delay, callback) {
      let timer: Timer;
      const run = (): void => {
        const host = getHost();
        if (host?.isFrozen === true) {
          timer = clock.after(10, run);
        } else if (host?.isDown !== true) {
          callback();
        }
      };
      let isCancelled = false;
      timer = clock.after(delay, () =>
        loop.run('timer', () => {
          if (!isCancelled) {
            run();
          }
        }),
      );
      return {
        cancel() {
          isCancelled = true;
          timer.cancel();
        },
      };
    },
  };
}

function createServers(count: number, getDomain: (index: number) => string): ListedServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `server-${index}`,
    pool: 'pool',
    address: `10.1.${Math.floor(index / SERVERS_PER_SUBNET)}.${index % SERVERS_PER_SUBNET}:1`,
    failureDomain: getDomain(index),
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldFor: 0,
    startedAt: 1,
  }));
}

/**
 * Runs the cores of many entry hosts as plain objects in virtual time, on a network with delays and
 * with a store of their own.
 */
export default async function createTestFleet(options: TestFleetOptions) {
  const { domains, serversPerDomain } = options;
  const clock = createVirtualClock();
  const random = createRandom(options.seed ?? 5);
  const hosts: TestHost[] = [];
  const getDomain = (index: number): string => `domain-${index % domains}`;
  const count = options.servers?.length ?? domains * serversPerDomain;
  const servers = createServers(count, getDomain).map((server, index) => ({
    ...server,
    ...options.servers?.[index],
  }));
  const configuration = { ...EMPTY_CONFIGURATION, ...options.configuration };
  const network = createTestNetwork(clock);
  let connect = (host: TestHost): ServerConnections => {
    throw new Error(`host ${host.name} has no engines`);
  };
  const store = createTestStore({ clock, configuration, servers });

  /** Creates a host's own links, which are connected once there are engines. */
  function createDirect(getHost: () => TestHost | undefined): ServerConnections {
    let connections: ServerConnections | undefined;
    const get = (): ServerConnections => {
      connections ??= connect(getHost()!);
      return connections;
    };
    return {
      send: (...attempt) => get().send(...attempt),
      checkListening: (...check) => get().checkListening(...check),
      renew: (server) => get().renew(server),
      retainServers: () => undefined,
      close: async () => undefined,
    };
  }

  async function startHost(index: number, isBootstrap: boolean): Promise<TestHost> {
    const name = `host-${index}`;
    const domain = getDomain(index);
    let host: TestHost | undefined;
    const getHost = (): TestHost | undefined => host;
    const loop = createTestLoop(clock);
    const hostClock = createHostClock(clock, loop, getHost);
    const loopDelay = createLoopDelay({
      clock: hostClock,
      afterPoll: (callback) => hostClock.after(POLL_TIME, callback),
    });
    const core = await createHostCore({
      context: { clock: loopDelay.clock, random, logger: silentLogger },
      loopDelay,
      bounds: BOUNDS,
      source: store.createSource(getHost),
      entryHost: name,
      incarnation: `${name} at ${clock.now()}`,
      failureDomain: domain,
      capacity: index < domains * LARGE_HOSTS_PER_DOMAIN ? LARGE_CAPACITY : SMALL_CAPACITY,
      isBootstrap,
      peerAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:1`,
      seedAddresses: ['10.0.0.0:1', '10.0.0.1:1', '10.0.0.2:1'],
      openTransport: network.createOpenTransport(getHost),
      direct: createDirect(getHost),
      onConfiguration: () => undefined,
      duties: options.createDuties?.(clock, hostClock, getHost),
    });
    const traffic = { messages: 0, bytes: 0, storeCalls: 0 };
    host = { name, domain, core, traffic, isDown: false, isFrozen: false, loop, loopDelay };
    hosts[index] = host;
    core.start();
    return host;
  }

  /** Runs the fleet for a time; lets pending promises settle between the steps. */
  async function advance(span: Milliseconds, step: Milliseconds = 5): Promise<void> {
    for (let elapsed = 0; elapsed < span; elapsed += step) {
      clock.advance(step);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  for (let index = 0; index < options.hosts; index += 1) {
    await startHost(index, true);
  }

  return {
    clock,
    random,
    hosts,
    servers,
    advance,
    setReachable: network.setReachable,
    /** Sets how hosts are connected with engines. */
    setConnect(next: (host: TestHost) => ServerConnections): void {
      connect = next;
    },
    setServers: store.setServers,
    setRollouts: store.setRollouts,
    getRollouts: store.getRollouts,
    countWatchers: store.countWatchers,
    countRegistered: store.countRegistered,
    /** Stops a host without notice and starts its process again. */
    restart(index: number): Promise<TestHost> {
      const host = hosts[index]!;
      host.isDown = true;
      store.forget(host);
      return startHost(index, false);
    },
    resetTraffic(): void {
      hosts.forEach(({ traffic }) =>
        Object.assign(traffic, { messages: 0, bytes: 0, storeCalls: 0 }),
      );
    },
  };
}
