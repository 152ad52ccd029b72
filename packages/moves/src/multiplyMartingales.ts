import type { SegmentEvidence, TestStatistics } from './types';

/**
 * Multiplies a segment's test martingales over failure domains. The product is a supermartingale because the requests
 * of different failure domains are independent.
 */
export default function multiplyMartingales(
  ownSegment: SegmentEvidence,
  others: readonly (readonly SegmentEvidence[])[],
): TestStatistics {
  const sameSegment = others.flatMap((segments) =>
    segments.filter(({ route, tier }) => route === ownSegment.route && tier === ownSegment.tier),
  );
  return [ownSegment, ...sameSegment].reduce<TestStatistics>(
    (product, segment) => ({
      failureRate: product.failureRate * segment.failureRate,
      failureRatio: product.failureRatio * segment.failureRatio,
      firstToken: product.firstToken * segment.firstToken,
      betweenTokens: product.betweenTokens * segment.betweenTokens,
    }),
    { failureRate: 1, failureRatio: 1, firstToken: 1, betweenTokens: 1 },
  );
}
