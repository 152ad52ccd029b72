import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { OrderFleet } from '@rattanreel/orders/testing';
import type { ObjectStoreModel, StoreFaults } from '@rattanreel/stand-in-platform';
import type { SimulationOptions } from './types';

const RESTART_DELAY_MILLISECONDS: Milliseconds = 2_000;
const MAXIMUM_PAUSE_MILLISECONDS: Milliseconds = 8_000;
const OUTAGE_PERIOD_MILLISECONDS: Milliseconds = 20_000;
const MINIMUM_RUNNING_HOSTS = 3;
const OUTAGES: readonly Partial<StoreFaults>[] = [
  { outage: 'refusing' },
  { outage: 'silent' },
  { extraLatency: 3_000 },
];
const NO_OUTAGE: Partial<StoreFaults> = { outage: 'none', extraLatency: 0 };
const FAULTS: Partial<StoreFaults> = {
  lostAnswerShare: 0.01,
  lateWriteShare: 0.01,
  maximumLateWriteDelay: 10_000,
};

interface FaultInjectorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly model: ObjectStoreModel;
  readonly fleet: OrderFleet;
  readonly hosts: readonly string[];
  readonly simulation: SimulationOptions;
}

interface FaultInjector {
  isStoreDown(): boolean;
  getCounts(): { readonly ends: number; readonly pauses: number };
  /**
   * Stops ending and pausing hosts and ends an outage of the store. Lost responses and late writes
   * of the store continue.
   */
  stop(): void;
}

/** Creates an injector that ends and pauses hosts at random times and injects store faults. */
export default function createFaultInjector(options: FaultInjectorOptions): FaultInjector {
  const { clock, random, model, fleet, hosts, simulation } = options;
  const counts = { ends: 0, pauses: 0 };
  let outages = 0;
  let isStoreDown = false;
  let isStopped = false;

  function tryPickRunning(): string | undefined {
    const running = hosts.filter((host) => fleet.isRunning(host));
    return running.length > MINIMUM_RUNNING_HOSTS
      ? running[random.integer(0, running.length - 1)]
      : undefined;
  }

  function scheduleRepeatedly(mean: Milliseconds, action: () => void): void {
    clock.after(2 * mean * random.next(), () => {
      if (!isStopped) {
        action();
        scheduleRepeatedly(mean, action);
      }
    });
  }

  function endRandomHost(): void {
    const host = tryPickRunning();
    if (host !== undefined) {
      counts.ends += 1;
      fleet.end(host);
      clock.after(RESTART_DELAY_MILLISECONDS, () => fleet.start(host));
    }
  }

  function pauseRandomHost(): void {
    const host = tryPickRunning();
    if (host !== undefined) {
      counts.pauses += 1;
      fleet.pause(host);
      clock.after(random.next() * MAXIMUM_PAUSE_MILLISECONDS, () => fleet.resume(host));
    }
  }

  function toggleOutage(): void {
    isStoreDown = !isStoreDown;
    outages += isStoreDown ? 1 : 0;
    model.setFaults(isStoreDown ? OUTAGES[outages % OUTAGES.length]! : NO_OUTAGE);
    clock.after(OUTAGE_PERIOD_MILLISECONDS, () => isStopped || toggleOutage());
  }

  model.setFaults(FAULTS);
  if (simulation.store === 'outages') {
    clock.after(OUTAGE_PERIOD_MILLISECONDS, toggleOutage);
  }
  if (simulation.endInterval !== undefined) {
    scheduleRepeatedly(simulation.endInterval, endRandomHost);
  }
  if (simulation.pauseInterval !== undefined) {
    scheduleRepeatedly(simulation.pauseInterval, pauseRandomHost);
  }
  return {
    isStoreDown: () => isStoreDown,
    getCounts: () => counts,
    stop() {
      isStopped = true;
      isStoreDown = false;
      model.setFaults(NO_OUTAGE);
    },
  };
}
