import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  PoolId,
  Random,
} from '@rattanreel/core';
import getColdInterval from './decisions/getColdInterval';
import isLargeFleet from './decisions/isLargeFleet';
import createPoolDesk from './pools/createPoolDesk';
import createServerAccounts from './pools/createServerAccounts';
import type { PoolDesk, ServerAccounts } from './pools/types';
import type { PoolSettings, Pools, RelayBounds } from './types';

interface PoolsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownName: EntryHostId;
  readonly ownDomain: FailureDomainId;
  readonly bounds: RelayBounds;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  /** Told when the requests in flight change, and whether places are scarce. */
  readonly onChange: (isScarce: boolean) => void;
}

interface OpenPool {
  readonly desk: PoolDesk;
  readonly accounts: ServerAccounts;
}

/** The pools of this host, each made when it is first heard of. */
export default function createPools(options: PoolsOptions): Pools {
  const { clock, ownName } = options;
  const open = new Map<PoolId, OpenPool>();
  let settingsByPool = new Map<PoolId, PoolSettings>();
  let hosts: readonly EntryHostId[] = [ownName];
  let nearHosts = 1;

  const hearsAll = (): boolean => !isLargeFleet(hosts.length - 1);
  /** Hosts that share the places that a desk counts. */
  const countSharers = (): number => (hearsAll() ? hosts.length : nearHosts);

  function openPool(pool: PoolId): OpenPool {
    const accounts = createServerAccounts();
    const desk = createPoolDesk({
      clock,
      random: options.random,
      ownDomain: options.ownDomain,
      bounds: options.bounds,
      accounts,
      getEvacuated: options.getEvacuated,
      hearsAll,
      onChange: options.onChange,
      getSettings: () => settingsByPool.get(pool),
      getColdInterval: (server, rate) => getColdInterval({ server, host: ownName, hosts, rate }),
    });
    desk.setHosts(hosts, countSharers());
    return { desk, accounts };
  }

  function getPool(pool: PoolId): OpenPool {
    let known = open.get(pool);
    if (known === undefined) {
      known = openPool(pool);
      open.set(pool, known);
    }
    return known;
  }

  return {
    getDesk: (pool) => getPool(pool).desk,
    setSettings(settings) {
      settingsByPool = new Map(settings.map((each) => [each.name, each]));
    },
    setServers(servers) {
      const now = clock.now();
      servers.forEach(({ pool }) => getPool(pool));
      open.forEach(({ accounts, desk }, pool) => {
        accounts.replace(
          servers.filter((server) => server.pool === pool),
          now,
        );
        desk.pump();
      });
    },
    setHosts(next, near) {
      hosts = next;
      nearHosts = near;
      open.forEach(({ desk }) => desk.setHosts(hosts, countSharers()));
    },
    countOwn() {
      const counts = new Map<BackendServerId, number>();
      open.forEach(({ accounts }) =>
        accounts.byId.forEach(({ own }, id) => {
          if (own > 0) {
            counts.set(id, own);
          }
        }),
      );
      return counts;
    },
    coolDown(failureDomains) {
      const now = clock.now();
      open.forEach(({ accounts }, pool) => {
        const coldTime = settingsByPool.get(pool)?.coldTime ?? 0;
        accounts.byId.forEach((account) => {
          if (failureDomains.includes(account.listed.failureDomain)) {
            account.coldUntil = Math.max(account.coldUntil, now + coldTime);
          }
        });
      });
    },
    forEachDesk: (action) => open.forEach(({ desk }, pool) => action(desk, pool)),
  };
}
