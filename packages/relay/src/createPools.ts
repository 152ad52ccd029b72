import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  Incarnation,
  PoolId,
  Random,
} from '@rattanreel/core';
import getColdRequestInterval from './decisions/getColdRequestInterval';
import createPoolQueue from './pools/createPoolQueue';
import createPoolAverages from './pools/createPoolAverages';
import createServerStateMap from './pools/createServerStateMap';
import createServerSpeeds from './speed/createServerSpeeds';
import type { PoolAverages, PoolQueue, ServerStateMap, Pools } from './pools/types';
import type { Rollouts } from './rollouts/types';
import type { ServerEmbargo } from './decisions/types';
import updatePacing from './limits/updatePacing';
import createShareTerms from './fairness/createShareTerms';
import countOwnSlots from './limits/countOwnSlots';
import createLoanExchange from './limits/createLoanExchange';
import createPoolLoans from './limits/createPoolLoans';
import createSlotLoans from './limits/createSlotLoans';
import type { BrittlePools, ServerLimits } from './limits/types';
import type {
  LimitPacing,
  ListedServer,
  PoolSettings,
  RelayBounds,
  ServerState,
  SlotSharing,
} from './types';

interface PoolsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownName: EntryHostId;
  readonly incarnation: Incarnation;
  readonly ownDomain: FailureDomainId;
  readonly bounds: RelayBounds;
  readonly embargo: ServerEmbargo;
  readonly rollouts: Rollouts;
  readonly serverLimits: Pick<ServerLimits, 'tryGetRate'>;
  readonly brittlePools: Pick<BrittlePools, 'isBrittle'>;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  /**
   * Called when the requests in flight change, with whether capacity is scarce, and with true when a
   * request is queued.
   */
  readonly onInFlightChange: (isScarce: boolean) => void;
}

interface PoolEntry {
  readonly queue: PoolQueue;
  readonly serverStates: ServerStateMap;
  readonly averages: PoolAverages;
  /** This host's slots at servers, until the servers or the hosts change. */
  readonly ownSlots: Map<BackendServerId, number>;
  readonly loans: ReturnType<typeof createPoolLoans>;
}

/** Creates the sharing of slots that applies until other hosts are known. */
function createInitialSharing(ownName: EntryHostId): SlotSharing {
  return {
    grantingHosts: [ownName],
    slotOwners: [ownName],
    ownSlotOwner: ownName,
    registeredHosts: [],
    fleetHosts: 1,
    ownHosts: 1,
  };
}

/** Creates the pools of this host; each pool is created on its first use. */
export default function createPools(options: PoolsOptions): Pools {
  const { clock, ownName } = options;
  const poolsById = new Map<PoolId, PoolEntry>();
  const speeds = createServerSpeeds();
  const slotLoans = createSlotLoans({ ...options, startedAt: clock.now() });
  let settingsByPool = new Map<PoolId, PoolSettings>();
  let shareTerms = createShareTerms();
  let sharing = createInitialSharing(ownName);

  function getPacing({ listed, pacing }: ServerState): LimitPacing | undefined {
    const rate = options.serverLimits.tryGetRate(listed);
    return rate === undefined
      ? undefined
      : updatePacing(pacing, { ...sharing, rate, now: clock.now(), random: options.random });
  }

  function createPoolEntry(pool: PoolId): PoolEntry {
    const serverStates = createServerStateMap();
    const averages = createPoolAverages();
    const ownSlots = new Map<BackendServerId, number>();

    function countHomeSlots(listed: ListedServer): number {
      let count = ownSlots.get(listed.id);
      if (count === undefined) {
        const servers = [...serverStates.byId.values()].map((state) => state.listed);
        count = countOwnSlots({
          server: listed,
          servers,
          owner: sharing.ownSlotOwner,
          owners: sharing.slotOwners,
        });
        ownSlots.set(listed.id, count);
      }
      return count;
    }

    const loans = createPoolLoans({ pool, clock, slotLoans, serverStates, countHomeSlots });

    function getOwnSlots({ listed }: ServerState): number | undefined {
      return options.brittlePools.isBrittle(pool) ? loans.countUsable(listed) : undefined;
    }

    const queue = createPoolQueue({
      clock,
      random: options.random,
      ownDomain: options.ownDomain,
      bounds: options.bounds,
      serverStates,
      averages,
      getEvacuated: options.getEvacuated,
      embargo: {
        isEmbargoed: (server, now) =>
          options.rollouts.getUse(server) === 'none' || options.embargo.isEmbargoed(server, now),
      },
      rollouts: options.rollouts,
      speeds,
      onInFlightChange: options.onInFlightChange,
      getPacing,
      getOwnSlots,
      getShareTerms: () => shareTerms,
      getSettings: () => settingsByPool.get(pool),
      getColdRequestInterval: (server, rate) =>
        getColdRequestInterval({ server, host: ownName, hosts: sharing.grantingHosts, rate }),
    });
    queue.setSharing(sharing);
    return { queue, serverStates, averages, ownSlots, loans };
  }

  function getPoolEntry(pool: PoolId): PoolEntry {
    let known = poolsById.get(pool);
    if (known === undefined) {
      known = createPoolEntry(pool);
      poolsById.set(pool, known);
    }
    return known;
  }

  return {
    speeds,
    loans: createLoanExchange({
      clock,
      slotLoans,
      pools: poolsById,
      brittlePools: options.brittlePools,
      onChange: () => options.onInFlightChange(true),
    }),
    getQueue: (pool) => getPoolEntry(pool).queue,
    setSettings(settings, customers) {
      shareTerms = createShareTerms(customers);
      settingsByPool = new Map(settings.map((each) => [each.name, each]));
    },
    setServers(servers) {
      const now = clock.now();
      servers.forEach(({ pool }) => getPoolEntry(pool));
      speeds.retainServers(new Set(servers.map(({ id }) => id)));
      poolsById.forEach(({ serverStates, queue, ownSlots }, pool) => {
        ownSlots.clear();
        serverStates.replaceServers(
          servers.filter((server) => server.pool === pool),
          now,
        );
        queue.grantSlots();
      });
    },
    setSharing(next) {
      sharing = next;
      slotLoans.setOwners(sharing.slotOwners, sharing.registeredHosts, clock.now());
      poolsById.forEach(({ queue, ownSlots }) => {
        ownSlots.clear();
        queue.setSharing(sharing);
      });
    },
    markLeaving(servers) {
      poolsById.forEach(({ serverStates }) =>
        servers.forEach(({ id, startedAt }) => {
          const server = serverStates.byId.get(id);
          if (server !== undefined && server.listed.startedAt === startedAt) {
            server.isLeaving = true;
          }
        }),
      );
    },
    listLeaving: () =>
      [...poolsById.values()].flatMap(({ serverStates }) =>
        [...serverStates.byId.values()]
          .filter(({ isLeaving }) => isLeaving)
          .map(({ listed: { id, startedAt } }) => ({ id, startedAt })),
      ),
    countOwnInFlight() {
      const counts = new Map<BackendServerId, number>();
      poolsById.forEach(({ serverStates }) =>
        serverStates.byId.forEach(({ ownInFlight }, id) => {
          if (ownInFlight > 0) {
            counts.set(id, ownInFlight);
          }
        }),
      );
      return counts;
    },
    markCold(failureDomains) {
      const now = clock.now();
      poolsById.forEach(({ serverStates }, pool) => {
        const coldTime = settingsByPool.get(pool)?.coldTime ?? 0;
        serverStates.byId.forEach((server) => {
          if (failureDomains.includes(server.listed.failureDomain)) {
            server.coldUntil = Math.max(server.coldUntil, now + coldTime);
          }
        });
      });
    },
    forEachQueue: (action) => poolsById.forEach(({ queue }, pool) => action(queue, pool)),
  };
}
