import type { OperatorSignal, SentSignal, SoakRecord } from './types';

const stopSignals: ReadonlySet<OperatorSignal> = new Set(['SIGTERM', 'SIGINT', 'SIGQUIT']);

/** Finds the signal that began the stop of each process of a host. */
export default function findFirstStops(record: SoakRecord, host: number): readonly SentSignal[] {
  const stops = record.signals.filter((each) => each.host === host && stopSignals.has(each.signal));
  return stops.filter(
    ({ process }, index) => stops.findIndex((each) => each.process === process) === index,
  );
}
