import { describe, it } from 'node:test';
import { expect } from 'earl';
import fastCheck from 'fast-check';
import simulateOrders from './simulateOrders';
import tallyOrders from './tallyOrders';
import type { SimulationOptions } from './types';

const RUNS = 5;
const FAST_CHECK_SEED = 4;

const CASES: readonly {
  readonly name: string;
  readonly options: Omit<SimulationOptions, 'seed'>;
}[] = [
  {
    name: 'hosts end and pause',
    options: {
      orders: 200,
      ordersPerSecond: 20,
      store: 'well',
      endInterval: 900,
      pauseInterval: 700,
    },
  },
  {
    name: 'the store has outages',
    options: { orders: 800, ordersPerSecond: 20, store: 'outages' },
  },
  {
    name: 'hosts end and pause and the store has outages',
    options: {
      orders: 500,
      ordersPerSecond: 10,
      store: 'outages',
      endInterval: 8_000,
      pauseInterval: 1_500,
    },
  },
];

describe(simulateOrders.name, () => {
  for (const { name, options } of CASES) {
    it(`books no order twice, refuses none falsely and loses none while ${name}`, () =>
      fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.integer({ min: 1, max: 1_000_000 }), async (seed) => {
          const result = await simulateOrders({ ...options, seed });
          const tally = tallyOrders(result, result.histories);
          const { bookedTwice, falseNotRun, lost, differingAnswers } = tally;
          expect({ bookedTwice, falseNotRun, lost, differingAnswers }).toEqual({
            bookedTwice: 0,
            falseNotRun: 0,
            lost: 0,
            differingAnswers: 0,
          });
        }),
        { seed: FAST_CHECK_SEED, numRuns: RUNS, endOnFailure: true },
      ));
  }
});
