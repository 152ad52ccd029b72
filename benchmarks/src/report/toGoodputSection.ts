import type { BarPlot, GoodputReport, PageSection } from './types';

const PERCENT = 100;

type ScenarioReport = GoodputReport['scenarios'][number];

function toGoodputPlot(scenario: ScenarioReport): BarPlot {
  const policies = Object.entries(scenario.policies);
  const tiers = policies[0]?.[1].offeredByTier ?? [];
  return {
    heading: `Goodput by tier: ${scenario.name}, ${scenario.deployment}`,
    text: 'Share of the offered work that was finished within its deadlines, by tier; tier 0 is the highest.',
    categoryAxis: 'tier',
    valueAxis: 'goodput, % of the work offered',
    valueScale: 'percent',
    categories: tiers.map((_, tier) => `tier ${tier}`),
    series: policies.map(([name, result]) => ({
      name,
      values: tiers.map((_, tier) => {
        const offered = result.offeredByTier[tier] ?? 0;
        return offered === 0 ? null : ((result.goodputByTier[tier] ?? 0) / offered) * PERCENT;
      }),
    })),
  };
}

function toPlotByScenario(
  scenarios: readonly ScenarioReport[],
  getValue: (result: ScenarioReport['policies'][string]) => number | null,
  labels: Pick<BarPlot, 'heading' | 'text' | 'valueAxis' | 'valueScale'>,
): BarPlot {
  const names = Object.keys(scenarios[0]?.policies ?? {});
  return {
    ...labels,
    categoryAxis: 'scenario',
    categories: scenarios.map(({ name }) => name),
    series: names.map((name) => ({
      name,
      values: scenarios.map(({ policies }) => {
        const result = policies[name];
        return result === undefined ? null : getValue(result);
      }),
    })),
  };
}

/** Creates the page section of the goodput benchmark. */
export default function toGoodputSection(report: GoodputReport): PageSection {
  const deployments = [...new Set(report.scenarios.map(({ deployment }) => deployment))];
  const wasted = deployments.map((deployment) =>
    toPlotByScenario(
      report.scenarios.filter((scenario) => scenario.deployment === deployment),
      ({ wastedPrefillShare }) =>
        wastedPrefillShare === null ? null : wastedPrefillShare * PERCENT,
      {
        heading: `Wasted prefill, ${deployment}`,
        text: 'Share of the prefill work spent on requests that were not answered in time.',
        valueAxis: 'wasted prefill, %',
        valueScale: 'linear',
      },
    ),
  );
  const bursts = report.scenarios.filter(({ policies }) =>
    Object.values(policies).some((result) => result.goodputBackAfterSeconds !== undefined),
  );
  const back =
    bursts.length === 0
      ? []
      : [
          toPlotByScenario(bursts, (result) => result.goodputBackAfterSeconds ?? null, {
            heading: 'Goodput back after a burst',
            text: 'Time from the end of the burst until requests were answered as often as before; no bar: not within the run.',
            valueAxis: 'time, s',
            valueScale: 'linear',
          }),
        ];
  return {
    heading: `Goodput (seed ${report.seed}, ${report.quick ? 'quick run' : 'full run'})`,
    plots: [...report.scenarios.map(toGoodputPlot), ...wasted, ...back],
    notRecorded: [
      'goodput over time, also while a failure domain leaves and returns: only totals of the measured window are kept (scenario domainLeavesAndReturns)',
      'goodput against load as a curve: the scenarios hold fixed levels of load',
      ...(bursts.length === 0 ? ['time until goodput was back after a burst'] : []),
    ],
  };
}
