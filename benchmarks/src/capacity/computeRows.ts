import formatFigure from './formatFigure';
import type { CapacityMeasurements, CapacityRow, CapacityTarget } from './types';

const PERCENT = 100;
const BYTES_PER_KILOBYTE = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;
const NOT_MEASURED = 'not measured';
const QUEUED_ARRIVAL_SECONDS = 10;

function scale(value: number | undefined, factor: number): number | undefined {
  return value === undefined ? undefined : value * factor;
}

function add(left: number | undefined, right: number | undefined): number | undefined {
  return left === undefined || right === undefined ? undefined : left + right;
}

function createEntryHostRow(target: CapacityTarget, measured: CapacityMeasurements): CapacityRow {
  const requests = target.requestsPerSecond / target.hosts;
  const tokens = target.tokensPerSecond / target.hosts;
  const tokensPerRequest = target.tokensPerSecond / target.requestsPerSecond;
  const seconds = target.firstTokenSeconds + tokensPerRequest * target.betweenTokensSeconds;
  const busy = add(
    scale(measured.busyMillisecondsPerRequest, requests / MILLISECONDS_PER_SECOND),
    scale(measured.busyMicrosecondsPerToken, tokens / MICROSECONDS_PER_SECOND),
  );
  return {
    role: 'entry host',
    state: formatFigure(requests * seconds, 'requests in flight'),
    messages: `${formatFigure(requests, 'requests/s')}, ${formatFigure(tokens, 'tokens/s')}`,
    processor: `${formatFigure(scale(busy, PERCENT), '% of a core')} (data path, outside the budget)`,
    memory: `${NOT_MEASURED} per request in flight`,
  };
}

function createSchedulerRow(target: CapacityTarget, measured: CapacityMeasurements): CapacityRow {
  const schedulers = target.failureDomains * target.models;
  const requestsPerHost = target.requestsPerSecond / target.hosts;
  const hostsPerDomain = target.hosts / target.failureDomains;
  const queued = requestsPerHost * QUEUED_ARRIVAL_SECONDS;
  const cost = add(measured.grantMicroseconds, measured.requestMicroseconds);
  const share = scale(cost, (requestsPerHost / MICROSECONDS_PER_SECOND) * PERCENT);
  const bytes = scale(measured.bytesPerQueuedRequest, queued / BYTES_PER_KILOBYTE);
  return {
    role: 'pool scheduler',
    state: `${formatFigure(schedulers / target.hosts, 'schedulers a host')}, ${formatFigure(queued, 'queued')} (${QUEUED_ARRIVAL_SECONDS} s of arrivals)`,
    messages: `${formatFigure(requestsPerHost * 3, 'asks, grants and releases/s')}; bytes ${NOT_MEASURED}`,
    processor: `${formatFigure(share, '% of a core')}; ${formatFigure(scale(share, hostsPerDomain), '%')} where one pool takes all requests of its domain`,
    memory: formatFigure(bytes, 'KB'),
  };
}

function createDelegateRow(target: CapacityTarget, measured: CapacityMeasurements): CapacityRow {
  const traffic = scale(measured.controlBytesPerSecondWorstHost, 1 / BYTES_PER_KILOBYTE);
  return {
    role: 'delegate',
    state: formatFigure(measured.storeWatchesOpen, 'store watches open in all'),
    messages: `${formatFigure(traffic, 'KB/s')}, ${formatFigure(measured.controlMessagesPerSecondWorstHost, 'messages/s')} (worst host)`,
    processor: 'in the shared line',
    memory: `${formatFigure(scale(measured.memberTableBytes, 1 / BYTES_PER_KILOBYTE), 'KB')} of member table`,
  };
}

function createSharedRow(measured: CapacityMeasurements): CapacityRow {
  const traffic = scale(measured.controlBytesPerSecondMedianHost, 1 / BYTES_PER_KILOBYTE);
  return {
    role: 'shared per process',
    state: `member table ${formatFigure(scale(measured.memberTableBytes, 1 / BYTES_PER_KILOBYTE), 'KB')}`,
    messages: `${formatFigure(traffic, 'KB/s')} (median host)`,
    processor: `${formatFigure(scale(measured.controlCoreShare, PERCENT), '% of a core')} (simulation included)`,
    memory: `idle ${formatFigure(measured.idleMegabytesOfBinary, 'MB')} (binary), ${formatFigure(measured.idleMegabytesFromSource, 'MB')} (from source)`,
  };
}

/** Computes the rows of the table from the measurements. */
export default function computeRows(
  target: CapacityTarget,
  measured: CapacityMeasurements,
): readonly CapacityRow[] {
  const engines = target.engines / target.failureDomains;
  const unmeasured = { processor: NOT_MEASURED, memory: NOT_MEASURED };
  return [
    createEntryHostRow(target, measured),
    createSchedulerRow(target, measured),
    createDelegateRow(target, measured),
    {
      role: 'placement controller',
      state: formatFigure(engines, 'engines (one controller a domain)'),
      messages: NOT_MEASURED,
      ...unmeasured,
    },
    {
      role: 'move controller',
      state: 'one record a move',
      messages: NOT_MEASURED,
      ...unmeasured,
    },
    createSharedRow(measured),
  ];
}
