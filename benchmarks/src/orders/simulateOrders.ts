import { createRandom, createVirtualClock } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import { createOrderFleet } from '@rattanreel/orders/testing';
import { sleep } from '@rattanreel/platform';
import { createObjectStoreModel, runInVirtualTime } from '@rattanreel/stand-in-platform';
import createCallers from './createCallers';
import createFaultInjector from './createFaultInjector';
import type { KeyKind, OrderHistory, SimulationOptions, SimulationResult } from './types';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const KEY_KINDS: readonly KeyKind[] = ['none', 'ticket', 'ticket', 'callerKey', 'callerKey'];
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Time that the run continues after the last order, and for which it then waits at most for callers
 * that have not finished.
 */
const SETTLING_MILLISECONDS: Milliseconds = 90_000;
const FAULTS = { refusedShare: 0.03, brokenShare: 0.005, lostAnswerShare: 0.005 };

/**
 * Runs orders through the real order executors under ends and pauses of hosts and store faults, in
 * virtual time.
 */
export default async function simulateOrders(
  options: SimulationOptions,
): Promise<SimulationResult> {
  const clock = createVirtualClock();
  const random = createRandom(options.seed);
  const model = createObjectStoreModel({ clock, random });
  const histories = new Map<string, OrderHistory>();
  const fleet = createOrderFleet({
    clock,
    random,
    model,
    hosts: HOSTS,
    faults: FAULTS,
    onDispatch: ({ body }) => histories.get(body)?.dispatchedAt.push(clock.now()),
  });
  const simulation = options;
  const faultInjector = createFaultInjector({
    clock,
    random,
    model,
    fleet,
    hosts: HOSTS,
    simulation,
  });
  const runCaller = createCallers({ clock, random, fleet, hosts: HOSTS });
  const interval = MILLISECONDS_PER_SECOND / options.ordersPerSecond;

  function createHistory(index: number): OrderHistory {
    const history: OrderHistory = {
      body: `order-${index}`,
      keyKind: KEY_KINDS[index % KEY_KINDS.length]!,
      wasStoreDown: faultInjector.isStoreDown(),
      submissions: [],
      dispatchedAt: [],
      knownOutcome: undefined,
    };
    histories.set(history.body, history);
    return history;
  }

  async function runAll(): Promise<void> {
    const callers: Promise<void>[] = [];
    for (let index = 0; index < options.orders; index += 1) {
      await sleep(clock, 2 * interval * random.next());
      callers.push(runCaller(createHistory(index)));
    }
    faultInjector.stop();
    await sleep(clock, SETTLING_MILLISECONDS);
    await Promise.race([Promise.all(callers), sleep(clock, SETTLING_MILLISECONDS)]);
  }

  await runInVirtualTime(clock, runAll());
  model.close();
  return {
    histories: [...histories.values()],
    getBookings: fleet.getBookings,
    storeWrites: model.getCounts().writes,
    ...faultInjector.getCounts(),
    virtualSeconds: Math.round(clock.now() / MILLISECONDS_PER_SECOND),
  };
}
