import type { FailureDomainId, PoolId } from '@rattanreel/core';
import type { RemotePool, PoolChanged, VersionShare } from '@rattanreel/scheduling';
import type { SettingsView } from '../types';

/** Builds the `poolChanged` message of a pool from the active settings. */
export default function buildPoolChanged(
  view: SettingsView,
  pool: PoolId,
  failureDomain: FailureDomainId,
  shares: readonly VersionShare[],
  remotePools: readonly RemotePool[],
): PoolChanged {
  const { drained, tiers } = view.settings;
  const backendServers = view.getBackendServers(pool, failureDomain).map((server) => ({
    id: server.id,
    hardware: server.hardware,
    version: server.version,
    memoryTokens: server.memoryTokens,
    maximumStreams: server.maximumStreams,
    drained: drained.backendServers.includes(server.id),
  }));
  return {
    kind: 'poolChanged',
    backendServers,
    shares,
    tiers: tiers.length,
    domainDrained: drained.failureDomains.includes(failureDomain),
    remotePools,
  };
}
