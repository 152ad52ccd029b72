import type { UnitEvidence, UnitWealth } from './types';

/** The product of wealth over failure domains, which is a supermartingale as their requests are independent. */
export default function multiplyWealth(
  own: UnitEvidence,
  others: readonly (readonly UnitEvidence[])[],
): UnitWealth {
  const same = others.flatMap((units) =>
    units.filter(({ route, tier }) => route === own.route && tier === own.tier),
  );
  return [own, ...same].reduce<UnitWealth>(
    (product, unit) => ({
      failureRate: product.failureRate * unit.failureRate,
      failureRatio: product.failureRatio * unit.failureRatio,
      firstToken: product.firstToken * unit.firstToken,
      betweenTokens: product.betweenTokens * unit.betweenTokens,
    }),
    { failureRate: 1, failureRatio: 1, firstToken: 1, betweenTokens: 1 },
  );
}
