import type { PolicyName, PolicyResult, ScenarioName, TargetResult } from '../types';
import getShare from './getShare';

const TOP_TIER_SHARE = 0.99;
const OVERLOAD_SHARE = 0.95;
const WASTED_PREFILL_SHARE = 0.01;
const LENGTH_GAP = 0.05;
const GRANTS_RESUMED_MILLISECONDS = 3_000;
const GOODPUT_BACK_SECONDS = 5;
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
function computeShortfall(ours: PolicyResult, theirs: PolicyResult): number {
  const gains = ours.goodputByTier.map((work, tier) => work - theirs.goodputByTier[tier]!);
  const open = gains.map((gain, tier) => -gain - Math.max(0, sum(gains.slice(0, tier))));
  return Math.max(0, ...open) / sum(ours.offeredByTier);
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
  const ours = policies.rattanreel;
  const [topGoodput = 0] = ours.goodputByTier;
  const [topOffered = 0] = ours.offeredByTier;
  const targets = [
    checkAtMost('wastedPrefillShare', ours.wastedPrefillShare, WASTED_PREFILL_SHARE),
    checkAtMost(
      'worstTierBelowBaseline',
      Math.max(...BASELINES.map((name) => computeShortfall(ours, policies[name]))),
      0,
    ),
    checkAtMost('longBelowShortInTier', computeLengthGap(ours), LENGTH_GAP),
  ];
  if (topOffered <= capacityBound) {
    targets.unshift(checkAtLeast('topTierShare', getShare(topGoodput, topOffered), TOP_TIER_SHARE));
  }
  if (scenario === 'overload200') {
    const share = sum(ours.goodputByTier) / capacityBound;
    targets.push(checkAtLeast('goodputShareOfCapacityBound', share, OVERLOAD_SHARE));
  }
  if (scenario === 'schedulerHostDies') {
    const resumed = ours.grantsResumedAfterMilliseconds ?? Number.POSITIVE_INFINITY;
    targets.push(
      checkAtMost('grantsResumedAfterMilliseconds', resumed, GRANTS_RESUMED_MILLISECONDS),
    );
    targets.push(checkAtMost('streamsCut', ours.streamsCut ?? 0, 0));
  }
  if (scenario === 'burst') {
    const back = ours.goodputBackAfterSeconds ?? Number.POSITIVE_INFINITY;
    targets.push(checkAtMost('goodputBackAfterSeconds', back, GOODPUT_BACK_SECONDS));
  }
  return targets;
}
