import type { Milliseconds } from '@rattanreel/core';
import type { Exclusion, ObservedRun, SentRequest, SoakRecord, Violation } from './types';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
/** Time from a caller's sending to the arrival at a server that no bound counts. */
const DELIVERY_ALLOWANCE: Milliseconds = 250;
/** The pages allow half a second beyond the route's time-out. */
const TIMEOUT_SLACK: Milliseconds = 500;
/** Requests that the pages let a stop cut. */
const MAXIMUM_CUT_REQUESTS = 3;
/** Of the requests after the recovery bound this many must be served, in hundredths. */
const MINIMUM_RECOVERED_PERCENT = 90;

/** Whether a host was in touch all the time between `from` less the stable window and `to`. */
function isUndisturbed(
  record: SoakRecord,
  host: number,
  from: Milliseconds,
  to: Milliseconds,
): boolean {
  return !record.disturbances.some(
    (each) =>
      (each.host === 'all' || each.host === host) &&
      each.from <= to &&
      each.to >= from - record.bounds.stabilityWindow,
  );
}

function getExclusionBound(exclusion: Exclusion, { bounds }: SoakRecord): Milliseconds {
  switch (exclusion.what) {
    case 'server':
      return bounds.drain;
    case 'failureDomain':
      return bounds.evacuate;
    case 'key':
      return bounds.apply;
    default:
      return exclusion.what satisfies never;
  }
}

function isExcludedRun(exclusion: Exclusion, run: ObservedRun, request: SentRequest): boolean {
  switch (exclusion.what) {
    case 'server':
      return run.server === exclusion.name;
    case 'failureDomain':
      return run.failureDomain === exclusion.name;
    case 'key':
      return request.key === exclusion.name;
    default:
      return exclusion.what satisfies never;
  }
}

/** Runs that a draining server, an evacuated domain or a key that is gone forbids. */
function findExcludedRuns(record: SoakRecord): readonly Violation[] {
  return record.exclusions.flatMap((exclusion) => {
    const dueAt = exclusion.from + getExclusionBound(exclusion, record);
    return record.runs.flatMap((run) => {
      const request = record.sent.get(run.id);
      const isViolation =
        request !== undefined &&
        isExcludedRun(exclusion, run, request) &&
        request.at > dueAt &&
        run.at > dueAt + DELIVERY_ALLOWANCE &&
        run.at < exclusion.to &&
        isUndisturbed(record, request.host, exclusion.from, run.at);
      const elapsed = Math.round(run.at - exclusion.from);
      return isViolation
        ? [
            {
              promise: exclusion.what,
              detail: `${exclusion.name}: ${run.id} ran ${elapsed} ms after it left`,
            },
          ]
        : [];
    });
  });
}

/** Requests whose new key a host still does not know. */
function findUnknownKeys(record: SoakRecord): readonly Violation[] {
  return record.keyGrants.flatMap(({ key, at }) => {
    const revocation = record.exclusions.find(({ what, name }) => what === 'key' && name === key);
    const revokedAt = revocation?.from ?? Infinity;
    return [...record.sent.values()]
      .filter((request) => request.key === key && request.at > at + record.bounds.apply)
      .filter(({ id }) => (record.ends.get(id)?.at ?? Infinity) < revokedAt)
      .filter((request) => isUndisturbed(record, request.host, at, request.at))
      .filter(({ id }) => {
        const end = record.ends.get(id);
        return end?.kind === 'answered' && end.status === HTTP_UNAUTHORIZED;
      })
      .map(({ id }) => ({ promise: 'configuration', detail: `${id}: ${key} unknown` }));
  });
}

/** Requests without an answer half a second after their route's time-out. */
function findTimeoutViolations(record: SoakRecord): readonly Violation[] {
  const maximum = record.bounds.timeout + TIMEOUT_SLACK;
  return [...record.sent.values()]
    .filter((request) => isUndisturbed(record, request.host, request.at, request.at + maximum))
    .filter(({ id, at }) => (record.ends.get(id)?.at ?? Infinity) - at > maximum)
    .map(({ id, route }) => ({ promise: 'timeout', detail: `${route} ${id}` }));
}

/** Whole answers that a stop by SIGTERM cut although a server ran the request. */
function findRequestsCutByShutdown(record: SoakRecord): readonly Violation[] {
  const ran = new Set(record.runs.map(({ id }) => id));
  return record.disturbances
    .filter(({ reason }) => reason === 'hostStopped')
    .flatMap((shutdown) => {
      const isDisturbedOtherwise = record.disturbances.some(
        (each) =>
          each !== shutdown &&
          (each.host === 'all' || each.host === shutdown.host) &&
          each.from <= shutdown.to &&
          each.to >= shutdown.from - record.bounds.stabilityWindow,
      );
      const cutRequests = [...record.sent.values()].filter(
        ({ id, host, at, route }) =>
          host === shutdown.host &&
          route !== 'draft' &&
          at >= shutdown.from - record.bounds.timeout &&
          at <= shutdown.to &&
          ran.has(id) &&
          record.ends.get(id)?.kind === 'cut',
      );
      return !isDisturbedOtherwise && cutRequests.length > MAXIMUM_CUT_REQUESTS
        ? [{ promise: 'stopCutsNothing', detail: cutRequests.map(({ id }) => id).join(', ') }]
        : [];
    });
}

function findRecoveryViolations(record: SoakRecord): readonly Violation[] {
  const recoveryDueAt =
    Math.max(0, ...record.disturbances.map(({ to }) => to)) + record.bounds.recover;
  const revoked = new Set(
    record.exclusions.filter(({ what }) => what === 'key').map(({ name }) => name),
  );
  const eligible = [...record.sent.values()].filter(
    ({ at, key, id }) => at > recoveryDueAt && !revoked.has(key) && record.ends.has(id),
  );
  const served = eligible.filter(({ id }) => {
    const end = record.ends.get(id);
    return end?.kind === 'answered' && end.status === HTTP_OK;
  });
  return served.length * 100 < eligible.length * MINIMUM_RECOVERED_PERCENT
    ? [{ promise: 'recovery', detail: `${served.length} of ${eligible.length} served` }]
    : [];
}

/** What must hold within a bound at hosts in touch. */
export default function findBoundViolations(record: SoakRecord): readonly Violation[] {
  return [
    findExcludedRuns,
    findUnknownKeys,
    findTimeoutViolations,
    findRequestsCutByShutdown,
    findRecoveryViolations,
  ].flatMap((check) => check(record));
}
