import type { PolicyName, PolicyResult, ScenarioName, TargetResult } from '../types';
import getShare from './getShare';

const MINIMUM_TOP_TIER_SHARE = 0.99;
const MINIMUM_OVERLOAD_SHARE = 0.95;
const MAXIMUM_WASTED_PREFILL_SHARE = 0.01;
const MAXIMUM_LENGTH_GAP_SHARE = 0.05;
const MAXIMUM_GRANT_RESUMPTION_MILLISECONDS = 3_000;
const MAXIMUM_GOODPUT_RECOVERY_SECONDS = 5;
const BASELINES: readonly PolicyName[] = ['roundRobin', 'leastReported', 'leastInFlight'];

interface TargetOptions {
  readonly scenario: ScenarioName;
  readonly policies: Readonly<Record<PolicyName, PolicyResult>>;
  readonly capacityBound: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function checkAtLeast(target: string, figure: number, bound: number): TargetResult {
  return { target, figure, bound, met: figure >= bound };
}

function checkAtMost(target: string, figure: number, bound: number): TargetResult {
  return { target, figure, bound, met: figure <= bound };
}

/**
 * Returns the largest shortfall of a tier's goodput against a baseline, less the gains of the
 * higher tiers over it, as a share of the offered work.
 */
function computeShortfall(rattanreelResult: PolicyResult, baseline: PolicyResult): number {
  const gains = rattanreelResult.goodputByTier.map(
    (work, tier) => work - baseline.goodputByTier[tier]!,
  );
  const shortfalls = gains.map((gain, tier) => -gain - Math.max(0, sum(gains.slice(0, tier))));
  return Math.max(0, ...shortfalls) / sum(rattanreelResult.offeredByTier);
}

function computeLengthGap(result: PolicyResult): number {
  const gaps = result.shortRequestsFinishedShareByTier.map(
    (share, tier) => share - result.longRequestsFinishedShareByTier[tier]!,
  );
  return Math.max(...gaps);
}

/** Checks each target of the goodput benchmark that applies to the scenario. */
export default function getTargets(options: TargetOptions): readonly TargetResult[] {
  const { scenario, policies, capacityBound } = options;
  const rattanreelResult = policies.rattanreel;
  const [topGoodput = 0] = rattanreelResult.goodputByTier;
  const [topOffered = 0] = rattanreelResult.offeredByTier;
  const targets = [
    checkAtMost(
      'wastedPrefillShare',
      rattanreelResult.wastedPrefillShare,
      MAXIMUM_WASTED_PREFILL_SHARE,
    ),
    checkAtMost(
      'worstTierBelowBaseline',
      Math.max(...BASELINES.map((name) => computeShortfall(rattanreelResult, policies[name]))),
      0,
    ),
    checkAtMost(
      'longBelowShortInTier',
      computeLengthGap(rattanreelResult),
      MAXIMUM_LENGTH_GAP_SHARE,
    ),
  ];
  if (topOffered <= capacityBound) {
    targets.unshift(
      checkAtLeast('topTierShare', getShare(topGoodput, topOffered), MINIMUM_TOP_TIER_SHARE),
    );
  }
  if (scenario === 'overload200') {
    const share = sum(rattanreelResult.goodputByTier) / capacityBound;
    targets.push(checkAtLeast('goodputShareOfCapacityBound', share, MINIMUM_OVERLOAD_SHARE));
  }
  if (scenario === 'schedulerHostDies') {
    const resumed = rattanreelResult.grantsResumedAfterMilliseconds ?? Number.POSITIVE_INFINITY;
    targets.push(
      checkAtMost('grantsResumedAfterMilliseconds', resumed, MAXIMUM_GRANT_RESUMPTION_MILLISECONDS),
    );
    targets.push(checkAtMost('streamsCut', rattanreelResult.streamsCut ?? 0, 0));
  }
  if (scenario === 'burst') {
    const back = rattanreelResult.goodputBackAfterSeconds ?? Number.POSITIVE_INFINITY;
    targets.push(checkAtMost('goodputBackAfterSeconds', back, MAXIMUM_GOODPUT_RECOVERY_SECONDS));
  }
  return targets;
}
