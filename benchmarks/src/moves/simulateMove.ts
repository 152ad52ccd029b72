import type { Generation, Milliseconds } from '@rattanreel/core';
import type { MoveRecord } from '@rattanreel/moves';
import createControllerHost from './createControllerHost';
import createLeaseModel from './createLeaseModel';
import createMoveWorld from './createMoveWorld';
import type { Interval, MoveRun, MoveScenario } from './types';

const TICK_MILLISECONDS: Milliseconds = 50;
const TICKS_PER_SECOND = 20;
/** Time after the deadline and the bake time within which a move may still reach a verdict. */
const VERDICT_TIMEOUT_MILLISECONDS: Milliseconds = 900_000;
/** Time that a run continues after the verdict, for late writes and paused controllers. */
const SETTLING_MILLISECONDS: Milliseconds = 60_000;

type ControllerHost = ReturnType<typeof createControllerHost>;

/**
 * Runs one move with the real guards and controllers in virtual time, over models of the traffic,
 * the network and the store.
 */
export default function simulateMove(scenario: MoveScenario): MoveRun {
  const world = createMoveWorld(scenario);
  const { clock, domains, hosts, network, store, observer, pool, failureDomains } = world;
  const lease = createLeaseModel({ isStoreDown: store.isDown, tryStartHolder });

  function tryStartHolder(generation: Generation): ControllerHost & { canRenew(): boolean } {
    const candidates = domains
      .map((_, index) => index)
      .filter((index) => !network.isPartitioned(index));
    const domain = candidates[generation % candidates.length] ?? 0;
    const host = createControllerHost({
      domain,
      generation,
      pool,
      failureDomains,
      now: () => clock.now(),
      apply: world.applyControllerEffect,
    });
    hosts.push(host);
    const canRenew = (): boolean =>
      host.isRunning() && !store.isDown() && !network.isPartitioned(host.domain);
    return { ...host, canRenew };
  }

  function runPeriodicTasks(): void {
    lease.check(clock.now());
    world.relistRecord();
    hosts.forEach((host) => {
      const names = network.listReachableFrom(host.domain).map((index) => failureDomains[index]!);
      host.handle({ kind: 'reachableChanged', failureDomains: names });
      host.handle({ kind: 'timePassed' });
    });
    domains.forEach((simulatedDomain) => {
      simulatedDomain.reportOldTraffic();
      simulatedDomain.handle({ kind: 'timePassed' });
    });
  }

  function scheduleInterval({ at, duration }: Interval, set: (isOn: boolean) => void): void {
    clock.after(at, () => set(true));
    clock.after(at + duration, () => set(false));
  }

  function scheduleFaults(): void {
    scenario.outages.forEach((outage) => scheduleInterval(outage, store.setDown));
    scenario.partitions.forEach((partition) =>
      scheduleInterval(partition, (isOn) => network.setPartitioned(partition.domain, isOn)),
    );
    scenario.controllerDeaths.forEach((at) => clock.after(at, () => hosts.at(-1)?.kill()));
    scenario.controllerPauses.forEach(({ at, duration }) =>
      clock.after(at, () => {
        const host = hosts.at(-1);
        host?.pause();
        clock.after(duration, () => host?.resume());
      }),
    );
    scenario.guardRestarts.forEach(({ at, domain }) =>
      clock.after(at, () => domains[domain]!.restartGuard()),
    );
    scenario.cancelAt.forEach(({ at, domain }) =>
      clock.after(at, () => {
        const move = { pool, to: 'new', startedAt: 0 };
        domains[domain]!.handle({ kind: 'cancelRequested', move, operator: 'operator' });
      }),
    );
  }

  function observeShares(): void {
    const shares = domains.flatMap((simulatedDomain, domain) =>
      network.isPartitioned(domain) ? [] : [{ domain, share: simulatedDomain.getShare() }],
    );
    observer.recordShares(shares, clock.now());
  }

  function run(): MoveRecord {
    const end = scenario.span + scenario.bakeTime + VERDICT_TIMEOUT_MILLISECONDS;
    let stored = store.tryGetStored();
    let endsAt = end;
    for (let tick = 0; clock.now() < endsAt; tick += 1) {
      if (tick % TICKS_PER_SECOND === 0) {
        runPeriodicTasks();
      }
      domains.forEach((simulatedDomain) => simulatedDomain.tick());
      clock.advance(TICK_MILLISECONDS);
      observeShares();
      stored = store.tryGetStored() ?? stored;
      if (stored!.record.verdict !== 'underWay' && endsAt === end) {
        endsAt = clock.now() + SETTLING_MILLISECONDS;
      }
    }
    return stored!.record;
  }

  scheduleFaults();
  return observer.getResult(run());
}
