import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import type { ListedServer } from '../types';

const START_TIME = 14_000;
const DOMAIN = 'domain-1';
/** Hosts hear of it from the store, or from each other with the reports of every half second. */
const LONGEST_SPREAD = 1_000;
/** From the news to the reset of the connections of the servers, as when a process ends early. */
const RESET_AFTER = 1_200;
const SMALL = { hosts: 4, domains: 2, serversPerDomain: 6, load: 0.5 };
const LARGE = { hosts: 24, domains: 2, serversPerDomain: 12, load: 0.5 };

type Fleet = Awaited<ReturnType<typeof createTestFleet>>;

interface WithdrawalCase {
  readonly name: string;
  readonly size: typeof SMALL;
  /** Withdraws the servers of a domain. */
  readonly withdraw: (fleet: Fleet) => void;
}

function setServers(fleet: Fleet, change: (server: ListedServer) => readonly ListedServer[]): void {
  fleet.setServers(
    fleet.servers.flatMap((server) => (server.failureDomain === DOMAIN ? change(server) : server)),
  );
}

const drain = (fleet: Fleet): void =>
  setServers(fleet, (server) => [{ ...server, isDraining: true }]);
const remove = (fleet: Fleet): void => setServers(fleet, () => []);

/** Lets hosts know of an evacuation: all, or only those that schedule no other host. */
function evacuate(fleet: Fleet, isKnownToSchedulers: boolean): void {
  fleet.hosts
    .filter(({ core }) => isKnownToSchedulers || core.getRole().ownHosts === 1)
    .forEach(({ core }) =>
      core.stateCache.apply({ kind: 'evacuated', failureDomains: [DOMAIN], version: 2 }),
    );
}

const cases: readonly WithdrawalCase[] = [
  { name: 'drain', size: SMALL, withdraw: drain },
  { name: 'are gone', size: SMALL, withdraw: remove },
  { name: 'are evacuated', size: SMALL, withdraw: (fleet) => evacuate(fleet, true) },
  { name: 'drain, under schedulers', size: LARGE, withdraw: drain },
  { name: 'are gone, under schedulers', size: LARGE, withdraw: remove },
  {
    name: 'are evacuated, which their schedulers have not heard',
    size: LARGE,
    withdraw: (fleet) => evacuate(fleet, false),
  },
];

describe('servers to which nothing more may be sent, with streams, retries and hedges', () => {
  cases.forEach(({ name, size, withdraw }) => {
    // Guards against retries, resumed streams and hedged copies that are sent to a server that leaves.
    it(`get nothing soon after they ${name}, and their streams go on elsewhere`, async () => {
      const fleet = await createTestFleet(size);
      const { engines, arrivals } = createTestEngines(fleet);
      const callers = createTestCallers({ fleet, hedgeLimit: 0.1 });
      await fleet.advance(START_TIME, 20);
      const rate = size.load * 10 * size.serversPerDomain * size.domains;
      callers.sendOften(rate, () => ({ target: '/' }));
      callers.sendOften(rate, () => ({ target: '/lookup/', customer: 'customer-a' }));
      await fleet.advance(2_000);
      const hasSchedulers = fleet.hosts.some(({ core }) => core.getRole().ownHosts > 1);
      expect(hasSchedulers).toEqual(size === LARGE);
      withdraw(fleet);
      const withdrawnAt = fleet.clock.now();
      await fleet.advance(100);
      const withdrawn = engines.filter((engine) => engine.getListed().failureDomain === DOMAIN);
      withdrawn.forEach((engine) => engine.resetConnections());
      await fleet.advance(RESET_AFTER);
      withdrawn.forEach((engine) => engine.resetConnections());
      await fleet.advance(2_000);
      callers.stop();
      await fleet.advance(5_000);
      const names = new Set(withdrawn.map((engine) => engine.getListed().id));
      const at = (isAfter: (time: number) => boolean): number =>
        arrivals.filter((arrival) => names.has(arrival.server) && isAfter(arrival.at)).length;
      expect(at((time) => time < withdrawnAt)).toBeGreaterThan(0);
      expect(at((time) => time > withdrawnAt + LONGEST_SPREAD)).toEqual(0);
      const hasTwo = (id: string): boolean =>
        new Set(arrivals.filter((arrival) => arrival.id === id).map(({ server }) => server)).size >
        1;
      const left = arrivals.filter(
        ({ server, at: time }) => names.has(server) && time < withdrawnAt,
      );
      expect(left.filter(({ id }) => hasTwo(id)).length).toBeGreaterThan(0);
      const broken = callers.requests.filter(
        ({ isBroken, sentAt, isFirst }) => isBroken === true && isFirst && sentAt < withdrawnAt,
      );
      expect(broken.length).toEqual(0);
    });
  });
});
