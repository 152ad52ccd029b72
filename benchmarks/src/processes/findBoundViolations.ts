import type { Milliseconds } from '@rattanreel/core';
import type { Ban, SeenRun, SentRequest, SoakRecord, Violation } from './types';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
/** Time from a caller's sending to the arrival at a server that no bound counts. */
const ON_THE_WAY: Milliseconds = 250;
/** The pages allow half a second beyond the route's time-out. */
const TIMEOUT_SLACK: Milliseconds = 500;
/** Requests that the pages let a stop cut. */
const MOST_CUT = 3;
/** Of the requests after the recovery bound this many must be served, in hundredths. */
const LEAST_RECOVERED = 90;

/** Whether a host was in touch all the time between `from` less the stable window and `to`. */
function isInTouch(
  record: SoakRecord,
  host: number,
  from: Milliseconds,
  to: Milliseconds,
): boolean {
  return !record.disturbances.some(
    (each) =>
      (each.host === 'all' || each.host === host) &&
      each.from <= to &&
      each.to >= from - record.bounds.stable,
  );
}

function getBanBound(ban: Ban, { bounds }: SoakRecord): Milliseconds {
  switch (ban.what) {
    case 'server':
      return bounds.drain;
    case 'failureDomain':
      return bounds.evacuate;
    case 'key':
      return bounds.apply;
    default:
      return ban.what satisfies never;
  }
}

function isBannedRun(ban: Ban, run: SeenRun, request: SentRequest): boolean {
  switch (ban.what) {
    case 'server':
      return run.server === ban.name;
    case 'failureDomain':
      return run.failureDomain === ban.name;
    case 'key':
      return request.key === ban.name;
    default:
      return ban.what satisfies never;
  }
}

/** Runs that a draining server, an evacuated domain or a key that is gone forbids. */
function findForbiddenRuns(record: SoakRecord): readonly Violation[] {
  return record.bans.flatMap((ban) => {
    const dueAt = ban.from + getBanBound(ban, record);
    return record.runs.flatMap((run) => {
      const request = record.sent.get(run.id);
      const isForbidden =
        request !== undefined &&
        isBannedRun(ban, run, request) &&
        request.at > dueAt &&
        run.at > dueAt + ON_THE_WAY &&
        run.at < ban.to &&
        isInTouch(record, request.host, ban.from, run.at);
      const late = Math.round(run.at - ban.from);
      return isForbidden
        ? [{ promise: ban.what, detail: `${ban.name}: ${run.id} ran ${late} ms after it left` }]
        : [];
    });
  });
}

/** Requests whose new key a host still does not know. */
function findUnknownKeys(record: SoakRecord): readonly Violation[] {
  return record.grants.flatMap(({ key, at }) => {
    const ban = record.bans.find(({ what, name }) => what === 'key' && name === key);
    const goneAt = ban?.from ?? Infinity;
    return [...record.sent.values()]
      .filter((request) => request.key === key && request.at > at + record.bounds.apply)
      .filter(({ id }) => (record.ends.get(id)?.at ?? Infinity) < goneAt)
      .filter((request) => isInTouch(record, request.host, at, request.at))
      .filter(({ id }) => {
        const end = record.ends.get(id);
        return end?.kind === 'answered' && end.status === HTTP_UNAUTHORIZED;
      })
      .map(({ id }) => ({ promise: 'configuration', detail: `${id}: ${key} unknown` }));
  });
}

/** Requests without an answer half a second after their route's time-out. */
function findHeldRequests(record: SoakRecord): readonly Violation[] {
  const most = record.bounds.timeout + TIMEOUT_SLACK;
  return [...record.sent.values()]
    .filter((request) => isInTouch(record, request.host, request.at, request.at + most))
    .filter(({ id, at }) => (record.ends.get(id)?.at ?? Infinity) - at > most)
    .map(({ id, route }) => ({ promise: 'timeout', detail: `${route} ${id}` }));
}

/** Whole answers that a stop by SIGTERM cut although a server ran the request. */
function findCutByStop(record: SoakRecord): readonly Violation[] {
  const ran = new Set(record.runs.map(({ id }) => id));
  return record.disturbances
    .filter(({ reason }) => reason === 'hostStopped')
    .flatMap((stop) => {
      const isDisturbedOtherwise = record.disturbances.some(
        (each) =>
          each !== stop &&
          (each.host === 'all' || each.host === stop.host) &&
          each.from <= stop.to &&
          each.to >= stop.from - record.bounds.stable,
      );
      const cut = [...record.sent.values()].filter(
        ({ id, host, at, route }) =>
          host === stop.host &&
          route !== 'draft' &&
          at >= stop.from - record.bounds.timeout &&
          at <= stop.to &&
          ran.has(id) &&
          record.ends.get(id)?.kind === 'cut',
      );
      return !isDisturbedOtherwise && cut.length > MOST_CUT
        ? [{ promise: 'stopCutsNothing', detail: cut.map(({ id }) => id).join(', ') }]
        : [];
    });
}

function findLateRecovery(record: SoakRecord): readonly Violation[] {
  const calmAt = Math.max(0, ...record.disturbances.map(({ to }) => to)) + record.bounds.recover;
  const revoked = new Set(record.bans.filter(({ what }) => what === 'key').map(({ name }) => name));
  const asked = [...record.sent.values()].filter(
    ({ at, key, id }) => at > calmAt && !revoked.has(key) && record.ends.has(id),
  );
  const served = asked.filter(({ id }) => {
    const end = record.ends.get(id);
    return end?.kind === 'answered' && end.status === HTTP_OK;
  });
  return served.length * 100 < asked.length * LEAST_RECOVERED
    ? [{ promise: 'recovery', detail: `${served.length} of ${asked.length} served` }]
    : [];
}

/** What must hold within a bound at hosts in touch. */
export default function findBoundViolations(record: SoakRecord): readonly Violation[] {
  return [
    findForbiddenRuns,
    findUnknownKeys,
    findHeldRequests,
    findCutByStop,
    findLateRecovery,
  ].flatMap((find) => find(record));
}
