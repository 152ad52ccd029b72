import type createTestFleet from './createTestFleet';
import type { TestHost, Trouble } from './types';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;

const FREEZE_TIME = 3_000;
const CUT_TIME = 5_000;

function toTroubles(fleet: TestFleet, hosts: readonly TestHost[]): readonly Trouble[] {
  return hosts.map((host) => ({ host, until: fleet.clock.now() }));
}

/** Disruptions of some hosts of a test fleet; each returns the hosts, with the time at which it ended. */
const disturbances = {
  async freeze(fleet: TestFleet, hosts: readonly TestHost[]): Promise<readonly Trouble[]> {
    hosts.forEach((host) => {
      host.isFrozen = true;
    });
    await fleet.advance(FREEZE_TIME);
    hosts.forEach((host) => {
      host.isFrozen = false;
    });
    return toTroubles(fleet, hosts);
  },
  /** Cuts hosts off from the other hosts. */
  async cutOff(fleet: TestFleet, hosts: readonly TestHost[]): Promise<readonly Trouble[]> {
    fleet.setReachable((from, to) => hosts.includes(from) === hosts.includes(to));
    await fleet.advance(CUT_TIME);
    fleet.setReachable(() => true);
    return toTroubles(fleet, hosts);
  },
  /** Restarts hosts after a time. */
  async restart(
    fleet: TestFleet,
    after: number,
    indexes: readonly number[],
  ): Promise<readonly Trouble[]> {
    await fleet.advance(after);
    for (const index of indexes) {
      await fleet.restart(index);
    }
    return toTroubles(
      fleet,
      indexes.map((index) => fleet.hosts[index]!),
    );
  },
  listSchedulers: ({ hosts }: TestFleet): readonly TestHost[] =>
    hosts.filter(({ core, isDown }) => !isDown && core.getRole().ownHosts > 1),
};

export default disturbances;
