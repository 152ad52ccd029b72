import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Milliseconds } from '@rattanreel/core';
import decideScale from './decideScale';
import type { ScaleState } from './types';

const SLOTS = 4;
const BOOT_TIME: Milliseconds = 8_000;
const STEP: Milliseconds = 500;
const SETTINGS = { minimum: 2, maximum: 10, bootTime: BOOT_TIME };

interface Order {
  readonly at: Milliseconds;
  readonly desired: number;
}

interface Play {
  readonly orders: readonly Order[];
  /** Servers that were billed, on average. */
  readonly billed: number;
  /** Share of the time in which the load exceeded the slots of the ready servers. */
  readonly overloaded: number;
}

interface PlayOptions {
  /** Requests in flight or waiting at a time. */
  readonly getLoad: (at: Milliseconds) => number;
  readonly isKnown?: (at: Milliseconds) => boolean;
  readonly length: Milliseconds;
}

/** Plays a load against servers that boot for a time after they are ordered. */
function play({ getLoad, isKnown = () => true, length }: PlayOptions): Play {
  const orders: Order[] = [];
  let state: ScaleState | undefined;
  let ready = SETTINGS.minimum;
  let booting: { readonly at: Milliseconds; readonly target: number }[] = [];
  let billed = 0;
  let overloaded = 0;
  for (let now = 0; now < length; now += STEP) {
    const time = now;
    const booted = booting.filter(({ at }) => at <= time);
    ready = Math.max(ready, ...booted.map(({ target }) => target));
    booting = booting.filter(({ at }) => at > time);
    const load = getLoad(now);
    const inFlight = Math.min(load, ready * SLOTS);
    const demand = {
      pool: 'pool',
      failureDomain: 'near',
      settings: SETTINGS,
      inFlight,
      waiting: load - inFlight,
      ready,
      draining: 0,
      slots: SLOTS,
      isKnown: isKnown(now),
    };
    const decision = decideScale({ now, demand, state });
    state = decision.state;
    if (decision.desired !== undefined) {
      orders.push({ at: now, desired: decision.desired });
      state = { ...state, ordered: decision.desired, orderedAt: now, lowSince: undefined };
      if (decision.desired > ready) {
        booting.push({ at: now + BOOT_TIME, target: decision.desired });
      } else {
        ready = decision.desired;
      }
    }
    billed += Math.max(ready, ...booting.map(({ target }) => target)) * (STEP / length);
    overloaded += load > ready * SLOTS ? STEP / length : 0;
  }
  return { orders, billed, overloaded };
}

describe(decideScale.name, () => {
  it('orders up at once in a burst, and once down after it was over for longer than a boot', () => {
    const { orders } = play({
      getLoad: (at) => (at >= 10_000 && at < 40_000 ? 24 : 4),
      length: 100_000,
    });
    const ups = orders.filter(({ at }) => at < 40_000);
    expect(ups[0]!.at).toBeLessThanOrEqual(10_000 + 2 * STEP);
    expect(ups.at(-1)!.desired).toEqual(8);
    expect(ups.at(-1)!.at).toBeLessThanOrEqual(10_000 + BOOT_TIME);
    const downs = orders.filter(({ at }) => at >= 40_000);
    expect(downs.at(-1)!.desired).toEqual(SETTINGS.minimum);
    expect(downs[0]!.at).toBeGreaterThan(40_000 + BOOT_TIME);
  });

  it('gives no server up between the crests of a wave shorter than a boot and its margin', () => {
    const { orders, overloaded } = play({
      getLoad: (at) => Math.round(13 + 10 * Math.sin((at / 10_000) * 2 * Math.PI)),
      length: 120_000,
    });
    const later = orders.filter(({ at }) => at > 20_000);
    expect(later).toEqual([]);
    // Only before the servers for the first crest have booted.
    expect(overloaded * 120_000).toBeLessThanOrEqual(10_000 + BOOT_TIME);
  });

  it('gives no server up in a lost domain, whose demand nobody knows', () => {
    const { orders } = play({
      getLoad: (at) => (at < 30_000 ? 24 : 0),
      isKnown: (at) => at < 30_000,
      length: 120_000,
    });
    expect(orders.filter(({ at }) => at >= 30_000)).toEqual([]);
  });

  it('follows one customer with ten times its usual demand, up to the maximum', () => {
    const { orders } = play({
      getLoad: (at) => 5 + (at >= 5_000 ? 50 : 5),
      length: 60_000,
    });
    expect(orders.at(-1)!.desired).toEqual(SETTINGS.maximum);
    expect(orders.every(({ desired }) => desired <= SETTINGS.maximum)).toEqual(true);
  });

  it('orders no fewer than the minimum, also without any load', () => {
    const { orders, billed } = play({ getLoad: () => 0, length: 60_000 });
    expect(orders).toEqual([]);
    expect(billed).toBeCloseTo(SETTINGS.minimum, 0.01);
  });
});
