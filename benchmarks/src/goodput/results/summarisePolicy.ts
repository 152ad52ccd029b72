import type {
  Arrival,
  DeploymentProfile,
  MeasuredWindow,
  PolicyObservations,
  PolicyResult,
  RequestOutcome,
  RequestRecord,
  Scenario,
  SimulatedEngine,
} from '../types';
import getGoodputRecoverySeconds from './getGoodputRecoverySeconds';
import getPercentile from './getPercentile';
import getShare from './getShare';

const FIRST_TOKEN_PERCENTILE = 0.95;

interface SummaryOptions {
  readonly deployment: DeploymentProfile;
  readonly scenario: Scenario;
  readonly window: MeasuredWindow;
  readonly records: readonly RequestRecord[];
  readonly engines: readonly SimulatedEngine[];
  readonly observations: PolicyObservations;
}

type Filter = (record: RequestRecord) => boolean;

function isAnswered({ outcome }: RequestRecord): boolean {
  return outcome === 'answered';
}

function getFinishedShare(records: readonly RequestRecord[], length: Arrival['length']): number {
  const ofLength = records.filter(({ arrival }) => arrival.length === length);
  return getShare(ofLength.filter(isAnswered).length, ofLength.length);
}

function getFirstTokenPercentile(records: readonly RequestRecord[]): number {
  const times = records.flatMap(({ firstTokenAfter }) => firstTokenAfter ?? []);
  return getPercentile(times, FIRST_TOKEN_PERCENTILE);
}

function sumWork(records: readonly RequestRecord[], filter: Filter): number {
  return records.filter(filter).reduce((sum, { arrival }) => sum + arrival.work, 0);
}

function countBy(values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  values.forEach((value) => {
    counts[value] = (counts[value] ?? 0) + 1;
  });
  return counts;
}

function getWastedPrefillShare(engines: readonly SimulatedEngine[]): number {
  let prefilled = 0;
  let wasted = 0;
  engines.forEach(({ model }) =>
    model.getAudits().forEach((audit) => {
      prefilled += audit.prefilledTokens;
      wasted += audit.wastedPrefillTokens;
    }),
  );
  return prefilled === 0 ? 0 : wasted / prefilled;
}

function countDispatchedTwice(engines: readonly SimulatedEngine[]): number {
  const executions = new Map<string, number>();
  engines.forEach(({ model }) =>
    model.getAudits().forEach(({ request, dispatches, state }) => {
      const executed = state === 'refused' ? 0 : dispatches;
      executions.set(request, (executions.get(request) ?? 0) + executed);
    }),
  );
  return [...executions.values()].filter((count) => count > 1).length;
}

/**
 * Computes the figures of one policy from the outcomes of the requests that arrived in the measured
 * window. Wasted prefill, double dispatches and the recovery from a burst cover the whole run.
 */
export default function summarisePolicy(options: SummaryOptions): PolicyResult {
  const { deployment, scenario, window, engines, observations } = options;
  const measuredRecords = options.records.filter(
    ({ arrival }) =>
      arrival.pool === 'drafts' && arrival.at >= window.from && arrival.at < window.to,
  );
  const tiers = deployment.tiers.map((_, tier) =>
    measuredRecords.filter(({ arrival }) => arrival.tier === tier),
  );
  return {
    goodputByTier: tiers.map((records) => sumWork(records, isAnswered)),
    offeredByTier: tiers.map((records) => sumWork(records, () => true)),
    goodputRequestsByTier: tiers.map((records) => records.filter(isAnswered).length),
    offeredRequestsByTier: tiers.map((records) => records.length),
    wastedPrefillShare: getWastedPrefillShare(engines),
    firstTokenP95Milliseconds: getFirstTokenPercentile(measuredRecords),
    firstTokenP95ByTier: tiers.map(getFirstTokenPercentile),
    longRequestsFinishedShare: getFinishedShare(measuredRecords, 'long'),
    shortRequestsFinishedShare: getFinishedShare(measuredRecords, 'short'),
    longRequestsFinishedShareByTier: tiers.map((records) => getFinishedShare(records, 'long')),
    shortRequestsFinishedShareByTier: tiers.map((records) => getFinishedShare(records, 'short')),
    outcomes: countBy(measuredRecords.map(({ outcome }) => outcome)) as Record<
      RequestOutcome,
      number
    >,
    refusals: countBy(measuredRecords.flatMap(({ refusal }) => refusal ?? [])),
    dispatchedTwice: countDispatchedTwice(engines),
    ...(scenario.name === 'schedulerHostDies' && observations),
    ...(scenario.name === 'burst' && {
      goodputBackAfterSeconds: getGoodputRecoverySeconds(options.records, scenario.load, window),
    }),
  };
}
