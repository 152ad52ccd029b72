import type { Random } from '@rattanreel/core';
import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import createSoakConfiguration from './createSoakConfiguration';
import createSoakServer from './createSoakServer';
import type { SoakBounds, SoakRecorder, SoakServer } from './types';

const services = ['orders', 'drafts', 'chats'];
const PACE_INTERVAL_MILLISECONDS = 1_500;
/** Factors of the work of streams, drawn one after the other. */
const paces = [0.5, 1, 1, 5];
const SLOTS_PER_SERVER = 4;
/** Time for which the store keeps the entry of a server that has shut down or crashed. */
const STALE_ENTRY_MILLISECONDS = 1_500;
/** Time from the start of a server's drain to its shutdown. */
const DRAIN_MILLISECONDS = 5_000;
const STORM_VERSIONS = 6;
const STORM_INTERVAL_MILLISECONDS = 100;

interface SoakOperatorOptions {
  readonly store: Awaited<ReturnType<typeof createStoreStandIn>>;
  readonly recorder: SoakRecorder;
  readonly random: Random;
  readonly bounds: SoakBounds;
  readonly failureDomains: readonly string[];
  /** Each service has as many servers. */
  readonly hostCount: number;
}

interface SoakOperator {
  start(): Promise<void>;
  /** Returns the current and the previous key of the customer without a quota. */
  getKeys(): { readonly current: string; readonly previous: string | undefined };
  getServer(target: number): SoakServer;
  drainServer(target: number): void;
  crashServer(target: number): void;
  evacuateDomain(target: number, duration: number): void;
  replaceKey(): void;
  startConfigurationStorm(): void;
  close(): void;
}

/** Creates an operator that manages the store's objects and the backend servers. */
export default function createSoakOperator(options: SoakOperatorOptions): SoakOperator {
  const { store, recorder, random, bounds, failureDomains } = options;
  const servers: SoakServer[] = [];
  let openedServers = 0;
  let version = 0;
  let keyIndex = 0;
  let extraRouteCount = 0;
  let paceTimer: NodeJS.Timeout | undefined;

  const getKey = (index: number): string => `key-large-${index}`;

  function putConfiguration(): void {
    version += 1;
    store.put(
      'config',
      'main',
      createSoakConfiguration({
        version,
        key: getKey(keyIndex),
        extraRouteCount,
        services,
        bounds,
      }),
    );
  }

  function putServer(server: SoakServer, state: 'ready' | 'draining'): void {
    store.put('servers', server.id, {
      service: server.service,
      addr: server.link.address,
      zone: server.failureDomain,
      version: 'v1',
      slots: SLOTS_PER_SERVER,
      state,
    });
  }

  async function openServer(service: string, failureDomain: string): Promise<SoakServer> {
    openedServers += 1;
    const server = await createSoakServer({
      id: `i-${openedServers}`,
      service,
      failureDomain,
      random,
      recorder,
    });
    servers.push(server);
    putServer(server, 'ready');
    return server;
  }

  /** Removes a server from the set that faults select from, and opens a replacement. */
  function replaceServer(target: number): SoakServer {
    const [server] = servers.splice(target % servers.length, 1) as [SoakServer];
    void openServer(server.service, server.failureDomain);
    return server;
  }

  function removeServer(server: SoakServer): void {
    server.close();
    setTimeout(() => store.remove('servers', server.id), STALE_ENTRY_MILLISECONDS);
  }

  return {
    async start() {
      putConfiguration();
      paceTimer = setInterval(() => {
        const pace = paces[random.integer(0, paces.length - 1)]!;
        servers.forEach((server) => server.setPace(pace));
      }, PACE_INTERVAL_MILLISECONDS);
      const placements = services.flatMap((service) =>
        Array.from({ length: options.hostCount }, (_, index) => ({
          service,
          failureDomain: failureDomains[index % failureDomains.length]!,
        })),
      );
      await Promise.all(
        placements.map((placement) => openServer(placement.service, placement.failureDomain)),
      );
    },
    getKeys: () => ({
      current: getKey(keyIndex),
      previous: keyIndex > 0 ? getKey(keyIndex - 1) : undefined,
    }),
    getServer: (target) => servers[target % servers.length]!,
    drainServer(target) {
      const server = replaceServer(target);
      putServer(server, 'draining');
      recorder.recordServerDrained(server.id);
      setTimeout(() => removeServer(server), DRAIN_MILLISECONDS);
    },
    crashServer: (target) => removeServer(replaceServer(target)),
    evacuateDomain(target, duration) {
      const failureDomain = failureDomains[target % failureDomains.length]!;
      store.put('evacuations', failureDomain, {});
      recorder.recordDomainEvacuated(failureDomain);
      setTimeout(() => {
        recorder.recordDomainRestored(failureDomain);
        store.remove('evacuations', failureDomain);
      }, bounds.evacuate + duration);
    },
    replaceKey() {
      keyIndex += 1;
      putConfiguration();
      recorder.recordKeyRevoked(getKey(keyIndex - 1));
      recorder.recordKeyGranted(getKey(keyIndex));
    },
    startConfigurationStorm() {
      Array.from({ length: STORM_VERSIONS }, (_, index) =>
        setTimeout(() => {
          extraRouteCount += 1;
          putConfiguration();
        }, index * STORM_INTERVAL_MILLISECONDS),
      );
    },
    close() {
      clearInterval(paceTimer);
      servers.forEach((server) => server.close());
    },
  };
}
