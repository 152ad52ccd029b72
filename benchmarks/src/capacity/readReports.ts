import path from 'node:path';
import { z } from 'zod';
import tryReadReport from '../report/tryReadReport';
import type { MissingReport, ReadReports } from './types';

const QUEUE_SIZE = 1_000;

const decisionsSchema = z.object({
  figures: z.array(
    z.object({
      queued: z.number(),
      microsecondsPerGrant: z.number(),
      microsecondsPerRequest: z.number(),
    }),
  ),
  bytesPerQueuedRequest: z.number().optional(),
});

const configurationSchema = z.object({
  spread: z.array(
    z.object({
      hosts: z.number(),
      inForceEverywhereSeconds: z.object({ worst: z.number() }),
      storeCallsPerSecond: z.number(),
      storeWatchesOpen: z.number(),
      storeCallsPerChange: z.number(),
      bytesPerSecond: z.object({ worstHost: z.number(), medianHost: z.number() }),
      messagesPerSecondWorstHost: z.number(),
      processorSharePerHost: z.number(),
    }),
  ),
  memberTableBytes: z.number(),
});

const ordersSchema = z.object({
  scenarios: z.object({ undisturbed: z.object({ storeWritesPerKeyedOrder: z.number() }) }),
});

const overheadSchema = z.object({
  busyMillisecondsPerRequest: z.number(),
  busyMicrosecondsPerToken: z.number(),
});

const memorySchema = z.object({
  idleMegabytesFromSource: z.number(),
  idleMegabytesOfBinary: z.number(),
});

/** Reads the benchmarks' JSON from a folder. Throws when a file does not match its schema. */
export default function readReports(folder: string, hosts: number): ReadReports {
  const missing: MissingReport[] = [];

  function tryRead<Report>(
    file: string,
    command: string,
    schema: z.ZodType<Report>,
  ): Report | undefined {
    const report = tryReadReport(folder, file, schema);
    if (report === undefined) {
      missing.push({ file: path.join(folder, file), command });
    }
    return report;
  }

  function formatBenchmarkCommand(name: string): string {
    return `npm run -s bench -- ${name} --json > ${path.join(folder, `${name}.json`)}`;
  }

  const decisions = tryRead('decisions.json', formatBenchmarkCommand('decisions'), decisionsSchema);
  const configuration = tryRead(
    'configuration.json',
    formatBenchmarkCommand('configuration'),
    configurationSchema,
  );
  const orders = tryRead('orders.json', formatBenchmarkCommand('orders'), ordersSchema);
  const overhead = tryRead('overhead.json', formatBenchmarkCommand('overhead'), overheadSchema);
  const memory = tryRead('memory.json', 'see docs/CAPACITY.md, "Resident memory"', memorySchema);

  const figuresAtQueueSize = decisions?.figures.filter(({ queued }) => queued === QUEUE_SIZE) ?? [];
  const tryGetMaximum = (values: readonly number[]) =>
    values.length === 0 ? undefined : Math.max(...values);
  const spread = configuration?.spread.find((each) => each.hosts === hosts);
  return {
    missing,
    measurements: {
      grantMicroseconds: tryGetMaximum(
        figuresAtQueueSize.map((figure) => figure.microsecondsPerGrant),
      ),
      requestMicroseconds: tryGetMaximum(
        figuresAtQueueSize.map((figure) => figure.microsecondsPerRequest),
      ),
      bytesPerQueuedRequest: decisions?.bytesPerQueuedRequest,
      busyMillisecondsPerRequest: overhead?.busyMillisecondsPerRequest,
      busyMicrosecondsPerToken: overhead?.busyMicrosecondsPerToken,
      configurationSecondsWorst: spread?.inForceEverywhereSeconds.worst,
      controlBytesPerSecondWorstHost: spread?.bytesPerSecond.worstHost,
      controlBytesPerSecondMedianHost: spread?.bytesPerSecond.medianHost,
      controlMessagesPerSecondWorstHost: spread?.messagesPerSecondWorstHost,
      controlCoreShare: spread?.processorSharePerHost,
      storeCallsPerSecond: spread?.storeCallsPerSecond,
      storeWatchesOpen: spread?.storeWatchesOpen,
      storeCallsPerChange: spread?.storeCallsPerChange,
      memberTableBytes: configuration?.memberTableBytes,
      storeWritesPerKeyedOrder: orders?.scenarios.undisturbed.storeWritesPerKeyedOrder,
      idleMegabytesFromSource: memory?.idleMegabytesFromSource,
      idleMegabytesOfBinary: memory?.idleMegabytesOfBinary,
    },
  };
}
