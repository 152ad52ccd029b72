import type createFixedWindows from './createFixedWindows';
import type { UsageRecords } from './types';

interface ReadOptions {
  readonly records: UsageRecords;
  readonly fixed: ReturnType<typeof createFixedWindows>;
  /** Windows before it that the store does not hold were removed by another holder. */
  readonly oldest: number;
  /** Era in which the lease was acquired. */
  readonly era: number;
}

type ReadResult =
  | { readonly kind: 'read'; readonly stored: number; readonly lost: number }
  | { readonly kind: 'newerEra'; readonly era: number }
  | { readonly kind: 'unavailable' };

/**
 * Reads what earlier holders recorded. Handles a store that returned from an older copy: windows
 * that this host fixed and the store has lost are recorded again, as they were.
 */
export default async function readUsageRecords(options: ReadOptions): Promise<ReadResult> {
  const { records, fixed, oldest, era } = options;
  const listed = await records.list();
  if (listed === undefined) {
    return { kind: 'unavailable' };
  }
  if (listed.era > era) {
    return { kind: 'newerEra', era: listed.era };
  }
  listed.records.forEach(fixed.keep);
  const stored = new Set(listed.records.map(({ window }) => window));
  const lost = fixed.list().filter(({ record }) => !stored.has(record.window));
  for (const { record, isSent } of lost) {
    if (record.window < oldest) {
      fixed.remove(record.window);
    } else {
      const result = await records.create(record);
      if (result.kind === 'recorded' && !isSent) {
        fixed.remove(record.window);
        fixed.keep(result.record);
      }
    }
  }
  return { kind: 'read', stored: stored.size, lost: lost.length };
}
