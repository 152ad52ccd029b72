import type { Clock, Milliseconds } from '@rattanreel/core';
import findAnswerViolations from './findAnswerViolations';
import findBoundViolations from './findBoundViolations';
import findLimitViolations from './findLimitViolations';
import notRunStatuses from './notRunStatuses';
import type { Ban, PromiseBounds, PromiseLedger, SoakRecord, Violation } from './types';

const HTTP_OK = 200;

interface PromiseLedgerOptions {
  readonly clock: Clock;
  readonly bounds: PromiseBounds;
}

/** Notes what callers and backend servers see in a run, and judges the users' promises by it. */
export default function createPromiseLedger(options: PromiseLedgerOptions): PromiseLedger {
  const { clock, bounds } = options;
  const startedAt = clock.now();
  const sent = new Map<
    string,
    SoakRecord['sent'] extends ReadonlyMap<string, infer T> ? T : never
  >();
  const ends = new Map<
    string,
    SoakRecord['ends'] extends ReadonlyMap<string, infer T> ? T : never
  >();
  const runs: SoakRecord['runs'][number][] = [];
  const arrivals: SoakRecord['arrivals'][number][] = [];
  const disturbances: SoakRecord['disturbances'][number][] = [];
  const bans: Ban[] = [];
  const ownEnds: Violation[] = [];
  const grants: SoakRecord['grants'][number][] = [];

  const now = (): Milliseconds => clock.now() - startedAt;

  function ban(what: Ban['what'], name: string): void {
    bans.push({ what, name, from: now(), to: Infinity });
  }

  return {
    now,
    sent: (request) => sent.set(request.id, request),
    ended: (id, end) => ends.set(id, { ...end, at: now() }),
    ran: (run) => runs.push(run),
    arrived: (service, id) => arrivals.push({ service, id, at: now() }),
    disturbed: (host, duration, reason) =>
      disturbances.push({ host, from: now(), to: now() + duration, reason }),
    serverLeft: (server) => ban('server', server),
    domainLeft: (failureDomain) => ban('failureDomain', failureDomain),
    domainReturned(failureDomain) {
      bans
        .filter(
          ({ what, name, to }) =>
            what === 'failureDomain' && name === failureDomain && to === Infinity,
        )
        .forEach((each) => {
          each.to = now();
        });
    },
    keyRevoked: (key) => ban('key', key),
    keyGranted: (key) => grants.push({ key, at: now() }),
    endedByItself: (detail) => ownEnds.push({ promise: 'runsOn', detail }),
    judge() {
      const record: SoakRecord = { bounds, sent, ends, runs, arrivals, disturbances, bans, grants };
      const finds = [findAnswerViolations, findBoundViolations, findLimitViolations];
      return [...ownEnds, ...finds.flatMap((find) => find(record))];
    },
    count() {
      const statuses = [...ends.values()].map((end) =>
        end.kind === 'answered' ? end.status : undefined,
      );
      return {
        sent: sent.size,
        served: statuses.filter((status) => status === HTTP_OK).length,
        refused: statuses.filter((status) => status !== undefined && notRunStatuses.has(status))
          .length,
      };
    },
  };
}
