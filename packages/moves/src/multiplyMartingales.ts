import type { SegmentEvidence, TestStatistics } from './types';

/**
 * Multiplies a segment's test martingales over failure domains. The product is a supermartingale because the requests
 * of different failure domains are independent.
 */
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
