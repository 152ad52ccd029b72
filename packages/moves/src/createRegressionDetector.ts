import type { Milliseconds } from '@rattanreel/core';
import type { VersionEvidence } from '@rattanreel/scheduling';
import createTimeNormaliser from './createTimeNormaliser';
import createSegmentTests from './createSegmentTests';
import multiplyMartingales from './multiplyMartingales';
import allocateSignificanceLevel from './allocateSignificanceLevel';
import tryGetRollbackCause from './tryGetRollbackCause';
import type {
  RollbackCause,
  DetectedRegression,
  TrafficSegment,
  RegressionTestPolicy,
  SegmentEvidence,
  SegmentTests,
  RegressionDetector,
  RegressionDetectorOptions,
} from './types';

const DEFAULT_POLICY: RegressionTestPolicy = {
  significanceLevel: 0.01,
  toleratedFailureRate: 0.01,
  toleratedFailureRatio: 1.5,
  toleratedFirstTokenRatio: 1.25,
  toleratedBetweenTokensRatio: 1.2,
  warmUpRequests: 10,
  expectedSegments: 20,
};
/** Exponent that turns the rejection threshold into the lower threshold at which a version is suspicious. */
const SUSPICION_THRESHOLD_EXPONENT = 0.6;

function createRegression(
  segment: TrafficSegment,
  cause: RollbackCause,
  scope: string,
): DetectedRegression {
  const route = segment.route ?? '*';
  const detail = `${cause} beyond tolerance ${scope}, ${segment.tier === undefined ? 'over all tiers' : 'on one tier'}`;
  return { ground: cause, route, tier: segment.tier ?? 0, detail };
}

/**
 * Creates the detector that tests a new version against the old one, which serves at the same time, in one failure
 * domain: over all traffic, on each route, and on each route and tier. Every test is anytime-valid; see
 * `createSequentialTest`, `createFailureTest` and `createLatencyTest` for the methods. Bonferroni's inequality bounds
 * the type I error over a whole move.
 */
export default function createRegressionDetector(
  options: RegressionDetectorOptions,
): RegressionDetector {
  const policy = { ...DEFAULT_POLICY, ...options.policy };
  const { failureDomains } = options;
  const testsBySegment = new Map<string, SegmentTests>();
  const firstTokenNormaliser = createTimeNormaliser();
  const betweenTokensNormaliser = createTimeNormaliser();
  let newRequests = 0;
  let isFullShare = false;
  let regression: DetectedRegression | undefined;

  function getSegmentTests(key: string, segment: TrafficSegment): SegmentTests {
    let tests = testsBySegment.get(key);
    if (tests === undefined) {
      const position = segment.route === undefined ? undefined : testsBySegment.size - 1;
      const significanceLevel = allocateSignificanceLevel({ policy, failureDomains, position });
      tests = createSegmentTests({ segment, policy, significanceLevel });
      testsBySegment.set(key, tests);
    }
    return tests;
  }

  /** Returns the tests of the segments that contain a request; the segment of all traffic comes first. */
  function getMatchingSegmentTests({ route, tier }: VersionEvidence): readonly SegmentTests[] {
    return [
      getSegmentTests('', { route: undefined, tier: undefined }),
      getSegmentTests(`route ${route}`, { route, tier: undefined }),
      getSegmentTests(`tier ${tier} route ${route}`, { route, tier }),
    ];
  }

  function normalise(
    normaliser: ReturnType<typeof createTimeNormaliser>,
    evidence: VersionEvidence,
    value: Milliseconds | undefined,
  ): number | undefined {
    if (value === undefined) {
      return undefined;
    }
    const cell = `${evidence.tier} ${evidence.route}`;
    const isNew = evidence.version === options.to;
    const isCold = isNew && newRequests <= policy.warmUpRequests;
    const normalised = isCold
      ? undefined
      : normaliser.tryNormalise(cell, evidence.promptTokens, value);
    if (!isNew) {
      normaliser.learn(cell, evidence.promptTokens, value);
    }
    return normalised;
  }

  function toSegmentEvidence(tests: SegmentTests): SegmentEvidence {
    const { route, tier } = tests.segment;
    const { failureRate, failureRatio, firstToken, betweenTokens } = tests.martingales();
    return { route, tier, failureRate, failureRatio, firstToken, betweenTokens };
  }

  function observe(evidence: VersionEvidence, now: Milliseconds): DetectedRegression | undefined {
    const isNew = evidence.version === options.to;
    if (regression !== undefined || (!isNew && evidence.version !== options.from)) {
      return regression;
    }
    newRequests += isNew ? 1 : 0;
    const firstToken = normalise(firstTokenNormaliser, evidence, evidence.firstTokenAfter);
    const betweenTokens = normalise(betweenTokensNormaliser, evidence, evidence.betweenTokens);
    const { failed } = evidence;
    for (const tests of getMatchingSegmentTests(evidence)) {
      tests.observe({ isNew, failed, firstToken, betweenTokens, isFullShare }, now);
      const cause = tryGetRollbackCause(tests.evidence(), 1 / tests.significanceLevel);
      if (cause !== undefined) {
        regression ??= createRegression(tests.segment, cause, 'in this failure domain');
      }
    }
    return regression;
  }

  return {
    observe,
    testJointly(others) {
      for (const tests of testsBySegment.values()) {
        const jointStatistics = multiplyMartingales(toSegmentEvidence(tests), others);
        const cause = tryGetRollbackCause(jointStatistics, 1 / tests.significanceLevel);
        if (cause !== undefined) {
          regression ??= createRegression(tests.segment, cause, 'in all failure domains together');
        }
      }
      return regression;
    },
    beginStep(share) {
      isFullShare = share >= 1;
      testsBySegment.forEach((tests) => tests.beginStep());
    },
    isSuspicious: () =>
      [...testsBySegment.values()].some(
        (tests) =>
          tryGetRollbackCause(
            tests.evidence(),
            tests.significanceLevel ** -SUSPICION_THRESHOLD_EXPONENT,
          ) !== undefined,
      ),
    cells: () =>
      [...testsBySegment.values()].flatMap((tests) => {
        const { route, tier } = tests.segment;
        return route === undefined || tier === undefined
          ? []
          : [{ route, tier, newRequests: tests.newRequests(), oldRequests: tests.oldRequests() }];
      }),
    segments: () => [...testsBySegment.values()].map(toSegmentEvidence),
  };
}
