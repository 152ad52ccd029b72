/** Types of the report page. */
import type { z } from 'zod';
import type goodputSchema from './goodputSchema';
import type movesSchema from './movesSchema';

export type GoodputReport = z.infer<typeof goodputSchema>;
export type MovesReport = z.infer<typeof movesSchema>;

/** Named values over the categories of a plot; null where a value is missing. */
export interface BarSeries {
  readonly name: string;
  readonly values: readonly (number | null)[];
}

export interface BarPlot {
  readonly heading: string;
  /** Description of the plot, in one line. */
  readonly text: string;
  readonly categoryAxis: string;
  /** Name and unit of the values. */
  readonly valueAxis: string;
  readonly valueScale: 'percent' | 'linear' | 'logarithmic';
  readonly categories: readonly string[];
  readonly series: readonly BarSeries[];
}

/** A section of the page. */
export interface PageSection {
  readonly heading: string;
  readonly plots: readonly BarPlot[];
  /** Figures that the JSON does not contain. */
  readonly notRecorded: readonly string[];
}
