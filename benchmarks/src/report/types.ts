/** Types of the report page. */
import type { z } from 'zod';
import type goodputSchema from './goodputSchema';
import type movesSchema from './movesSchema';

export type GoodputReport = z.infer<typeof goodputSchema>;
export type MovesReport = z.infer<typeof movesSchema>;

/** Values of one name over the categories of a plot; null where there is none. */
export interface BarSeries {
  readonly name: string;
  readonly values: readonly (number | null)[];
}

export interface BarPlot {
  readonly heading: string;
  /** What is seen, in one line. */
  readonly text: string;
  readonly categoryAxis: string;
  /** Name and unit of the values. */
  readonly valueAxis: string;
  readonly valueScale: 'percent' | 'linear' | 'logarithmic';
  readonly categories: readonly string[];
  readonly series: readonly BarSeries[];
}

/** A part of the page. */
export interface PageSection {
  readonly heading: string;
  readonly plots: readonly BarPlot[];
  /** What the JSON does not hold. */
  readonly notRecorded: readonly string[];
}
