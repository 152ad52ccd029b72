import type { MeasuredWindow } from './types';

/** Returns the window in which arrivals count, for the full or the quick set. */
export default function getMeasuredWindow(quick: boolean): MeasuredWindow {
  return quick
    ? { from: 8_000, to: 20_000, end: 24_000 }
    : { from: 30_000, to: 120_000, end: 140_000 };
}
