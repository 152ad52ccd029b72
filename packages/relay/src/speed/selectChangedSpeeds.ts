import type { SpeedReports } from './types';

/** Returns the reports whose slowdown differs from the last one sent; undefined if none does. */
export default function selectChangedSpeeds(
  before: SpeedReports = {},
  after: SpeedReports = {},
): SpeedReports | undefined {
  const changed = Object.entries(after).filter(
    ([server, [slowdown]]) => before[server]?.[0] !== slowdown,
  );
  return changed.length === 0 ? undefined : Object.fromEntries(changed);
}
