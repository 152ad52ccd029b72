import { createHash } from 'node:crypto';
import type { DeploymentSettings } from '@rattanreel/configuration';
import type { SettingsView } from './types';

function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function indexBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item> {
  return new Map(items.map((item) => [getKey(item), item]));
}

/** Indexes the settings for the lookups that requests need. */
export default function createSettingsView(settings: DeploymentSettings): SettingsView {
  const customers = new Map(
    settings.customers.flatMap((customer) =>
      customer.apiKeyHashes.map((hash) => [hash, customer] as const),
    ),
  );
  const administrators = indexBy(settings.administrators, ({ tokenHash }) => tokenHash);
  const modelPools = indexBy(
    settings.pools.filter((pool) => pool.kind === 'model'),
    ({ model }) => model,
  );
  const servicePools = indexBy(
    settings.pools.filter((pool) => pool.kind === 'service'),
    ({ service }) => service,
  );
  const backendServers = indexBy(settings.backendServers, ({ id }) => id);
  const entryHosts = indexBy(settings.entryHosts, ({ id }) => id);
  const lowestRank = settings.tiers.length - 1;

  return {
    settings,
    tryFindCustomer: (apiKey) => customers.get(hashSecret(apiKey)),
    tryFindAdministrator: (token) => administrators.get(hashSecret(token)),
    tryFindModelPool: (model) => modelPools.get(model),
    tryFindService: (service) => servicePools.get(service),
    tryFindRoute: (pool, method, path) =>
      pool.routes.find((route) => route.method === method && path.startsWith(route.pathPrefix)),
    tryFindBackendServer: (id) => backendServers.get(id),
    tryFindEntryHost: (id) => entryHosts.get(id),
    getBackendServers: (pool, failureDomain) =>
      settings.backendServers.filter(
        (server) => server.pool === pool && server.failureDomain === failureDomain,
      ),
    getFailureDomains(pool) {
      const servers = settings.backendServers.filter((server) => server.pool === pool);
      return [...new Set(servers.map((server) => server.failureDomain))];
    },
    getTierRank(tier) {
      const rank = settings.tiers.findIndex(({ id }) => id === tier);
      return rank < 0 ? lowestRank : rank;
    },
    getTier: (rank) => settings.tiers[Math.min(rank, lowestRank)]!,
  };
}
