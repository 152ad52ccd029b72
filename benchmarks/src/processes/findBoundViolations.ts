import type { Milliseconds } from '@rattanreel/core';
import type { Exclusion, ObservedRun, SentRequest, SoakRecord, Violation } from './types';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
/** Time from a caller's request to its run at a server that is not counted against a bound. */
const DELIVERY_ALLOWANCE: Milliseconds = 250;
/** The users' requirements allow half a second beyond the route's timeout. */
const TIMEOUT_SLACK: Milliseconds = 500;
/** Number of requests that a shutdown may interrupt by the users' requirements. */
const MAXIMUM_CUT_REQUESTS = 3;
/** Minimum percentage of requests that must be served after the recovery bound. */
const MINIMUM_RECOVERED_PERCENT = 90;

/** Returns whether a host was undisturbed from the stability window before `from` until `to`. */
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

/** Finds runs at a drained server, in an evacuated domain or with a revoked key after the bound. */
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

/** Finds requests whose new key a host still rejects after the bound. */
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

function getRouteTimeout({ route }: SentRequest, { bounds }: SoakRecord): Milliseconds {
  return route === 'chat' ? bounds.chatTimeout : bounds.timeout;
}

/** Finds requests without a response half a second after their route's timeout. */
function findTimeoutViolations(record: SoakRecord): readonly Violation[] {
  return [...record.sent.values()]
    .filter(({ isReadLate }) => isReadLate !== true)
    .map((request) => ({
      ...request,
      dueAt: request.at + getRouteTimeout(request, record) + TIMEOUT_SLACK,
    }))
    .filter(({ host, at, dueAt }) => isUndisturbed(record, host, at, dueAt))
    .filter(({ id, dueAt }) => (record.ends.get(id)?.at ?? Infinity) > dueAt)
    .map(({ id, route }) => ({ promise: 'timeout', detail: `${route} ${id}` }));
}

/**
 * Finds shutdowns by SIGTERM that interrupted more than the allowed number of requests that had run
 * at a server. Streams are not counted, and shutdowns near another disturbance are not checked.
 */
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
          route !== 'chat' &&
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
    ({ at, key, id }) =>
      at > recoveryDueAt && at < record.finalStopAt && !revoked.has(key) && record.ends.has(id),
  );
  const served = eligible.filter(({ id }) => {
    const end = record.ends.get(id);
    return end?.kind === 'answered' && end.status === HTTP_OK;
  });
  return served.length * 100 < eligible.length * MINIMUM_RECOVERED_PERCENT
    ? [{ promise: 'recovery', detail: `${served.length} of ${eligible.length} served` }]
    : [];
}

/** Finds violations of the guarantees that hold within a bound at undisturbed hosts. */
export default function findBoundViolations(record: SoakRecord): readonly Violation[] {
  return [
    findExcludedRuns,
    findUnknownKeys,
    findTimeoutViolations,
    findRequestsCutByShutdown,
    findRecoveryViolations,
  ].flatMap((check) => check(record));
}
