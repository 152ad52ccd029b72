import type { MeasuredWindow } from './types';

/** When arrivals count, in the full set and in the reduced one. */
export default function getMeasuredWindow(quick: boolean): MeasuredWindow {
  return quick
    ? { from: 8_000, to: 20_000, end: 24_000 }
    : { from: 30_000, to: 120_000, end: 140_000 };
}
