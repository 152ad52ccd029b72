import type { BarPlot, MovesReport, PageSection } from './types';

const PERCENT = 100;

type MoveSet = MovesReport['hold'];
type Quantity = keyof Omit<MoveSet['bad'], 'moves' | 'badTakenBackShare'>;

function toPercent(share: number | null): number | null {
  return share === null ? null : share * PERCENT;
}

function toShares(name: string, set: MoveSet): BarPlot['series'][number] {
  return {
    name,
    values: [
      toPercent(set.goodCompletedInTimeShare),
      toPercent(set.goodTakenBackShare),
      toPercent(set.bad.badTakenBackShare),
    ],
  };
}

function toDistributionPlot(
  report: MovesReport,
  quantity: Quantity,
  labels: Pick<BarPlot, 'heading' | 'text' | 'valueAxis'>,
): BarPlot {
  const toSeries = (name: string, set: MoveSet) => {
    const { median, percentile90, maximum } = set.bad[quantity];
    return { name, values: [median, percentile90, maximum] };
  };
  return {
    ...labels,
    categoryAxis: 'over the bad versions',
    valueScale: 'linear',
    categories: ['median', '90th percentile', 'maximum'],
    series: [toSeries('hold', report.hold), toSeries('preAuthorised', report.preAuthorised)],
  };
}

/** Creates the page section of the moves benchmark. */
export default function toMovesSection(report: MovesReport): PageSection {
  const { goodMoves, bad } = report.hold;
  return {
    heading: `Moves (seed ${report.seed}, ${goodMoves} good and ${bad.moves} bad versions under each outage policy)`,
    plots: [
      {
        heading: 'How moves ended',
        text: 'Good versions that were done in time or wrongly taken back, and bad ones taken back.',
        categoryAxis: 'outcome',
        valueAxis: 'share of the moves, %',
        valueScale: 'percent',
        categories: ['good, done in time', 'good, taken back', 'bad, taken back'],
        series: [toShares('hold', report.hold), toShares('preAuthorised', report.preAuthorised)],
      },
      toDistributionPlot(report, 'secondsFromSeenToZero', {
        heading: 'From the first judgement to a share of nothing',
        text: 'Time from the first failure domain that judged a version bad to a share of nothing everywhere in reach.',
        valueAxis: 'time, s',
      }),
      toDistributionPlot(report, 'secondsFromFirstFaultyToZero', {
        heading: 'From the first faulty request to a share of nothing',
        text: 'Time from the end of the first faulty request; it holds the wait for evidence.',
        valueAxis: 'time, s',
      }),
      toDistributionPlot(report, 'requestsBeforeSeen', {
        heading: 'Faulty requests before the judgement',
        text: 'Requests that a bad version got after its fault began and before it was judged.',
        valueAxis: 'requests',
      }),
      toDistributionPlot(report, 'shareWhenSeen', {
        heading: 'Share of a bad version when it was judged',
        text: 'Fraction of the traffic that the bad version carried at the judgement; 1 is all.',
        valueAxis: 'share, 0 to 1',
      }),
    ],
    notRecorded: ['the share of a single move over time: only summaries over all moves are kept'],
  };
}
