import { describe, it } from 'node:test';
import { expect } from 'earl';
import createHedgeBudget from './createHedgeBudget';
import decideHedge from './decideHedge';
import hasSpareCapacity from './hasSpareCapacity';
import type { HedgeInputs } from './types';

const ALLOWED: HedgeInputs = {
  hasAttemptsLeft: true,
  timeLeft: 1_000,
  delay: 200,
  isInvestigating: false,
  trySpendHedge: () => true,
};

describe(decideHedge.name, () => {
  const cases: readonly { name: string; change: Partial<HedgeInputs>; expected: string }[] = [
    { name: 'sends a copy within all limits', change: {}, expected: 'send' },
    {
      name: 'keeps to the maximum of attempts',
      change: { hasAttemptsLeft: false },
      expected: 'noAttemptLeft',
    },
    { name: 'sends none that cannot win', change: { timeLeft: 200 }, expected: 'tooLate' },
    {
      name: 'sends none while requests crash servers',
      change: { isInvestigating: true },
      expected: 'investigating',
    },
    {
      name: "keeps to the operators' limit",
      change: { trySpendHedge: () => false },
      expected: 'overLimit',
    },
  ];
  for (const { name, change, expected } of cases) {
    it(name, () => {
      const decision = decideHedge({ ...ALLOWED, ...change });
      const result: string = decision.kind === 'skip' ? decision.reason : decision.kind;
      expect(result).toEqual(expected);
    });
  }
});

describe(hasSpareCapacity.name, () => {
  const cases = [
    { name: 'at half of the slots', places: 40, taken: 20, waiting: 0, expected: true },
    { name: 'not near saturation', places: 40, taken: 32, waiting: 0, expected: false },
    { name: 'not while requests wait', places: 40, taken: 20, waiting: 1, expected: false },
    { name: 'not without servers', places: 0, taken: 0, waiting: 0, expected: false },
  ];
  for (const { name, expected, ...pool } of cases) {
    it(name, () => expect(hasSpareCapacity(pool)).toEqual(expected));
  }
});

describe(createHedgeBudget.name, () => {
  for (const hosts of [1, 16, 360]) {
    it(`keeps the sum over ${hosts} hosts within the limit, when all of them hedge what they can`, () => {
      const budgets = Array.from({ length: hosts }, () => createHedgeBudget(0.05));
      let hedges = 0;
      for (let request = 0; request < 7_200; request += 1) {
        const budget = budgets[(request * 7) % hosts]!;
        budget.recordRequest();
        hedges += budget.trySpend() ? 1 : 0;
      }
      expect(hedges).toBeLessThanOrEqual(7_200 * 0.05);
    });
  }
});
