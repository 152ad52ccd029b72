import type { Random } from '@rattanreel/core';
import type createStoreStandIn from '@rattanreel/platform-adapter/testing';
import createSoakServer from './createSoakServer';
import soakLimits from './soakLimits';
import type { PromiseBounds, PromiseLedger, SoakServer } from './types';

const SERVICES = ['orders', 'drafts'];
const SERVERS_OF_A_SERVICE = 4;
const SLOTS = 4;
/** Time for which the entry of a server that has gone stays in the store. */
const ENTRY_LIFE_MS = 1_500;
/** Time for which a draining server stays. */
const LEAVING_MS = 5_000;
const STORM_VERSIONS = 6;
const STORM_GAP_MS = 100;

interface SoakOperatorOptions {
  readonly store: Awaited<ReturnType<typeof createStoreStandIn>>;
  readonly ledger: PromiseLedger;
  readonly random: Random;
  readonly bounds: PromiseBounds;
  readonly failureDomains: readonly string[];
}

interface SoakOperator {
  start(): Promise<void>;
  /** Keys of the unlimited customer: the one in force, and the one that was in force before. */
  getKeys(): { readonly current: string; readonly previous: string | undefined };
  getServer(target: number): SoakServer;
  drain(target: number): void;
  crash(target: number): void;
  evacuate(target: number, duration: number): void;
  replaceKey(): void;
  storm(): void;
  close(): void;
}

/** Keeps the store's objects and the backend servers, and changes them as an operator would. */
export default function createSoakOperator(options: SoakOperatorOptions): SoakOperator {
  const { store, ledger, random, bounds, failureDomains } = options;
  const servers: SoakServer[] = [];
  let opened = 0;
  let version = 0;
  let keys = 0;
  let extraRoutes = 0;

  const getKey = (index: number): string => `key-large-${index}`;

  function putConfiguration(): void {
    version += 1;
    const route = {
      host: 'soak.example',
      'timeout-ms': bounds.timeout,
      'slo-ms': 500,
      priority: 0,
    };
    const { customer, ratePerSecond, burst } = soakLimits.quota;
    const extra = Array.from({ length: extraRoutes }, (_, index) => ({
      ...route,
      name: `extra-${index}`,
      'path-prefix': `/extra-${index}/`,
      kind: 'safe',
      service: 'orders',
    }));
    store.put('config', 'main', {
      version,
      routes: [
        { ...route, name: 'order', 'path-prefix': '/order/', kind: 'unsafe', service: 'orders' },
        {
          ...route,
          name: 'look',
          'path-prefix': '/look/',
          kind: 'safe',
          service: 'orders',
          'max-attempts': 2,
        },
        {
          ...route,
          name: 'draft',
          'path-prefix': '/draft/',
          kind: 'stream',
          service: 'drafts',
          'max-attempts': 2,
          resumable: true,
        },
        ...extra,
      ],
      services: SERVICES.map((name) => ({ name, 'max-conns': 100 })),
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 65_536,
        'header-timeout-ms': 3_000,
        'idle-timeout-ms': 15_000,
      },
      tenants: [
        { name: 'large', 'api-keys': [getKey(keys)] },
        { name: customer, 'api-keys': ['key-small'], 'rate-per-s': ratePerSecond, burst },
      ],
    });
  }

  function putServer(server: SoakServer, state: 'ready' | 'draining'): void {
    store.put('servers', server.id, {
      service: server.service,
      addr: server.link.address,
      zone: server.failureDomain,
      version: 'v1',
      slots: SLOTS,
      state,
    });
  }

  async function openServer(service: string, failureDomain: string): Promise<SoakServer> {
    opened += 1;
    const server = await createSoakServer({
      id: `i-${opened}`,
      service,
      failureDomain,
      random,
      ledger,
    });
    servers.push(server);
    putServer(server, 'ready');
    return server;
  }

  /** Takes a server out of the draw; another one of its service and domain comes. */
  function replace(target: number): SoakServer {
    const [server] = servers.splice(target % servers.length, 1) as [SoakServer];
    void openServer(server.service, server.failureDomain);
    return server;
  }

  function end(server: SoakServer): void {
    server.close();
    setTimeout(() => store.remove('servers', server.id), ENTRY_LIFE_MS);
  }

  return {
    async start() {
      putConfiguration();
      const places = SERVICES.flatMap((service) =>
        Array.from({ length: SERVERS_OF_A_SERVICE }, (_, index) => ({
          service,
          failureDomain: failureDomains[index % failureDomains.length]!,
        })),
      );
      await Promise.all(places.map((place) => openServer(place.service, place.failureDomain)));
    },
    getKeys: () => ({ current: getKey(keys), previous: keys > 0 ? getKey(keys - 1) : undefined }),
    getServer: (target) => servers[target % servers.length]!,
    drain(target) {
      const server = replace(target);
      putServer(server, 'draining');
      ledger.serverLeft(server.id);
      setTimeout(() => end(server), LEAVING_MS);
    },
    crash: (target) => end(replace(target)),
    evacuate(target, duration) {
      const failureDomain = failureDomains[target % failureDomains.length]!;
      store.put('evacuations', failureDomain, {});
      ledger.domainLeft(failureDomain);
      setTimeout(() => {
        ledger.domainReturned(failureDomain);
        store.remove('evacuations', failureDomain);
      }, bounds.evacuate + duration);
    },
    replaceKey() {
      keys += 1;
      putConfiguration();
      ledger.keyRevoked(getKey(keys - 1));
      ledger.keyGranted(getKey(keys));
    },
    storm() {
      Array.from({ length: STORM_VERSIONS }, (_, index) =>
        setTimeout(() => {
          extraRoutes += 1;
          putConfiguration();
        }, index * STORM_GAP_MS),
      );
    },
    close() {
      servers.forEach((server) => server.close());
    },
  };
}
