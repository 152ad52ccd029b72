import type { SkippedBackendServer } from '@rattanreel/observability';
import type {
  SkipReason,
  PlacedServer,
  PlacementPolicy,
  PlannedEngineOrder,
  VersionDemand,
} from './types';

interface VersionLoadOptions {
  /** The servers of the pool. */
  readonly servers: readonly PlacedServer[];
  readonly demands: readonly VersionDemand[];
  /** Whether a server has an order in flight or loaded a version too recently. */
  readonly isBusy: (server: PlacedServer) => boolean;
  readonly policy: PlacementPolicy;
}

type Candidate =
  | { readonly kind: 'eligible'; readonly server: PlacedServer; readonly cost: number }
  | { readonly kind: 'passedOver'; readonly passedOver: SkippedBackendServer };

/** Returns the throughput that a server provides now. */
function getUsableThroughput(server: PlacedServer, policy: PlacementPolicy): number {
  if (!server.ready || server.leaving || server.drained) {
    return 0;
  }
  return server.cold ? server.throughput * policy.coldThroughputFactor : server.throughput;
}

/** Returns the throughput that a server provides once it is loaded and warm. */
function getEventualThroughput(server: PlacedServer): number {
  return server.leaving || server.drained ? 0 : server.throughput;
}

function sumUsableThroughput(
  servers: readonly PlacedServer[],
  version: string,
  policy: PlacementPolicy,
): number {
  return servers
    .filter((server) => server.version === version)
    .reduce((sum, server) => sum + getUsableThroughput(server, policy), 0);
}

/**
 * Returns the throughput that a version lacks once its servers are warm. A version with demand or traffic needs at
 * least one server.
 */
function getShortfall(
  demand: VersionDemand,
  servers: readonly PlacedServer[],
  policy: PlacementPolicy,
): number {
  const versionServers = servers.filter(({ version }) => version === demand.version);
  const eventualThroughput = versionServers.reduce(
    (sum, server) => sum + getEventualThroughput(server),
    0,
  );
  const needed = demand.work * policy.headroomFactor;
  const needsOne = eventualThroughput === 0 && (demand.work > 0 || demand.carriesTraffic);
  return needsOne ? Math.max(needed, Number.MIN_VALUE) : needed - eventualThroughput;
}

function tryGetExclusionReason(
  server: PlacedServer,
  wanted: VersionDemand,
  options: VersionLoadOptions,
): SkipReason | undefined {
  if (server.drained) {
    return 'drained';
  }
  if (server.leaving) {
    return 'leaving';
  }
  if (server.version === wanted.version) {
    return 'alreadyServes';
  }
  return options.isBusy(server) ? 'orderUnderWay' : undefined;
}

/** Returns why the server must keep its current version; undefined when it need not. */
function tryGetRetentionReason(
  server: PlacedServer,
  options: VersionLoadOptions,
): SkipReason | undefined {
  const { servers, demands, policy } = options;
  const present = demands.find(({ version }) => version === server.version);
  if (present === undefined || !(present.carriesTraffic || present.work > 0)) {
    return undefined;
  }
  const otherServers = servers.filter((other) => other !== server);
  const remaining = sumUsableThroughput(otherServers, server.version, policy);
  if (remaining === 0 && present.carriesTraffic) {
    return 'lastServerOfVersion';
  }
  return remaining < present.work ? 'wouldLeaveTooLittle' : undefined;
}

function evaluateCandidate(
  server: PlacedServer,
  wanted: VersionDemand,
  options: VersionLoadOptions,
): Candidate {
  const reason =
    tryGetExclusionReason(server, wanted, options) ?? tryGetRetentionReason(server, options);
  if (reason !== undefined) {
    return { kind: 'passedOver', passedOver: { backendServer: server.backendServer, reason } };
  }
  const present = options.demands.find(({ version }) => version === server.version);
  const isWanted = present !== undefined && (present.carriesTraffic || present.work > 0);
  // Servers whose version has no demand come first, then those with the fewest running requests.
  const cost = (isWanted ? 1_000_000 : 0) + server.running;
  return { kind: 'eligible', server, cost };
}

/**
 * Plans at most one load, for the version of a pool with the largest shortfall. Loading one server at a time keeps
 * changes few, because the next plan counts the server that is loading.
 */
export default function planVersionLoads(
  options: VersionLoadOptions,
): readonly PlannedEngineOrder[] {
  const { servers, demands, policy } = options;
  const largestShortfall = demands
    .map((demand) => ({ demand, shortfall: getShortfall(demand, servers, policy) }))
    .filter(({ shortfall }) => shortfall > 0)
    .sort((left, right) => right.shortfall - left.shortfall)[0];
  if (largestShortfall === undefined) {
    return [];
  }
  const { demand } = largestShortfall;
  const candidates = servers.map((server) => evaluateCandidate(server, demand, options));
  const eligible = candidates
    .filter((entry) => entry.kind === 'eligible')
    .sort((left, right) => left.cost - right.cost);
  const chosen = eligible[0];
  if (chosen === undefined) {
    return [];
  }
  const passedOver = candidates.flatMap((entry) =>
    entry.kind === 'passedOver' ? [entry.passedOver] : [],
  );
  const lowerRanked = eligible.slice(1).map(({ server }) => ({
    backendServer: server.backendServer,
    reason: 'worseChoice',
  }));
  return [
    {
      backendServer: chosen.server.backendServer,
      pool: demand.pool,
      order: { order: 'loadVersion', version: demand.version },
      reason: `version ${demand.version} lacks a throughput of ${largestShortfall.shortfall.toPrecision(3)} per second`,
      alternatives: [...passedOver, ...lowerRanked],
    },
  ];
}
