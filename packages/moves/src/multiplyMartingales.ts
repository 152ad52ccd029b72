import type { SegmentEvidence, TestStatistics } from './types';

/** The product of wealth over failure domains, which is a supermartingale as their requests are independent. */
export default function multiplyMartingales(
  ownSegment: SegmentEvidence,
  others: readonly (readonly SegmentEvidence[])[],
): TestStatistics {
  const sameSegment = others.flatMap((units) =>
    units.filter(({ route, tier }) => route === ownSegment.route && tier === ownSegment.tier),
  );
  return [ownSegment, ...sameSegment].reduce<TestStatistics>(
    (product, unit) => ({
      failureRate: product.failureRate * unit.failureRate,
      failureRatio: product.failureRatio * unit.failureRatio,
      firstToken: product.firstToken * unit.firstToken,
      betweenTokens: product.betweenTokens * unit.betweenTokens,
    }),
    { failureRate: 1, failureRatio: 1, firstToken: 1, betweenTokens: 1 },
  );
}
