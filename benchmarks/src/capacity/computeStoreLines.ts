import formatFigure from './formatFigure';
import type { CapacityMeasurements, CapacityTarget } from './types';

const SECONDS_PER_DAY = 86_400;

/**
 * Returns lines that compare the load on the platform's store at the target with the store's rates.
 */
export default function computeStoreLines(
  target: CapacityTarget,
  measured: CapacityMeasurements,
): readonly string[] {
  const changes = target.configurationChangesPerDay / SECONDS_PER_DAY;
  const calls =
    measured.storeCallsPerSecond === undefined || measured.storeCallsPerChange === undefined
      ? undefined
      : measured.storeCallsPerSecond + measured.storeCallsPerChange * changes;
  const writes = measured.storeWritesPerKeyedOrder;
  const sustainedOrders =
    writes === undefined ? undefined : target.storeWritesPerSecond / (writes + 1);
  return [
    `Configuration and membership: ${formatFigure(calls, 'store calls/s')}, ${formatFigure(measured.storeWatchesOpen, 'watches open')}; the store bears ${formatFigure(target.storeReadsPerSecond, 'reads/s')}.`,
    `In force everywhere after ${formatFigure(measured.configurationSecondsWorst, 's')} at worst; the target is ${formatFigure(target.configurationSeconds, 's')}.`,
    `Keyed orders: ${formatFigure(writes, 'writes each')} and a removal; at ${formatFigure(target.storeWritesPerSecond, 'writes/s')} the store bears at most ${formatFigure(sustainedOrders, 'keyed orders/s')}, of ${formatFigure(target.requestsPerSecond, 'requests/s')}.`,
  ];
}
