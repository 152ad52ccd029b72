import { describe, it } from 'node:test';
import { expect } from 'earl';
import run from '.';
import type { ScenarioResult } from './types';

describe('goodput benchmark', () => {
  it('accounts for every request and dispatches none twice, in the quick set', async () => {
    const result = await run({ seed: 11, json: true, minutes: 1, quick: true });
    const { scenarios } = result as { scenarios: readonly ScenarioResult[] };
    expect(scenarios.length).toEqual(8);
    for (const { policies } of scenarios) {
      for (const policy of Object.values(policies)) {
        const offered = policy.offeredRequestsByTier.reduce((sum, count) => sum + count, 0);
        const ended = Object.values(policy.outcomes).reduce((sum, count) => sum + count, 0);
        expect(ended).toEqual(offered);
        expect(policy.outcomes.open).toEqual(undefined!);
        expect(policy.dispatchedTwice).toEqual(0);
        expect(
          policy.goodputByTier.every((work, tier) => work <= policy.offeredByTier[tier]! + 1),
        ).toEqual(true);
      }
    }
  });
});
