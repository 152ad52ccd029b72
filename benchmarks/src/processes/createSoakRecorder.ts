import type { Clock, Milliseconds } from '@rattanreel/core';
import findResponseViolations from './findResponseViolations';
import findBoundViolations from './findBoundViolations';
import findLimitViolations from './findLimitViolations';
import findLostRequests from './findLostRequests';
import findStopViolations from './findStopViolations';
import notRunStatuses from './notRunStatuses';
import type { Exclusion, SoakBounds, SoakRecorder, SoakRecord, Violation } from './types';

const HTTP_OK = 200;

interface SoakRecorderOptions {
  readonly clock: Clock;
  readonly bounds: SoakBounds;
}

/**
 * Creates a recorder of what callers and backend servers observe, which checks the users'
 * guarantees.
 */
export default function createSoakRecorder(options: SoakRecorderOptions): SoakRecorder {
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
  const exclusions: Exclusion[] = [];
  const processViolations: Violation[] = [];
  const signals: SoakRecord['signals'][number][] = [];
  const serverBreaks: SoakRecord['serverBreaks'][number][] = [];
  let finalStopAt: Milliseconds = Infinity;
  const keyGrants: SoakRecord['keyGrants'][number][] = [];

  const now = (): Milliseconds => clock.now() - startedAt;

  function exclude(what: Exclusion['what'], name: string): void {
    exclusions.push({ what, name, from: now(), to: Infinity });
  }

  return {
    now,
    recordSent: (request) => sent.set(request.id, request),
    recordEnd: (id, end) => ends.set(id, { ...end, at: now() }),
    recordRun(run) {
      const observed = { ...run };
      runs.push(observed);
      return () => {
        observed.endedAt = now();
      };
    },
    recordArrival: (service, id) => arrivals.push({ service, id, at: now() }),
    recordDisturbance: (host, duration, reason) =>
      disturbances.push({ host, from: now(), to: now() + duration, reason }),
    recordHeldUp: (host, from) => disturbances.push({ host, from, to: now(), reason: 'heldUp' }),
    recordServerDrained: (server) => exclude('server', server),
    recordDomainEvacuated: (failureDomain) => exclude('failureDomain', failureDomain),
    recordDomainRestored(failureDomain) {
      exclusions
        .filter(
          ({ what, name, to }) =>
            what === 'failureDomain' && name === failureDomain && to === Infinity,
        )
        .forEach((each) => {
          each.to = now();
        });
    },
    recordKeyRevoked: (key) => exclude('key', key),
    recordKeyGranted: (key) => keyGrants.push({ key, at: now() }),
    recordProcessViolation: (violation) => processViolations.push(violation),
    recordSignal: (signal) => signals.push({ ...signal, at: now() }),
    recordStopHandled(process, age) {
      signals
        .filter((each) => each.process === process && each.handledAt === undefined)
        .forEach((each) => {
          each.handledAt = now() - age;
        });
    },
    recordServerBreak: (server, id) =>
      serverBreaks.push({ server, at: now(), ...(id !== undefined && { id }) }),
    recordFinalStop() {
      finalStopAt = now();
    },
    get isEnding() {
      return finalStopAt < Infinity;
    },
    findViolations() {
      const record: SoakRecord = {
        bounds,
        sent,
        ends,
        runs,
        arrivals,
        disturbances,
        exclusions,
        keyGrants,
        signals,
        serverBreaks,
        finalStopAt,
      };
      const checks = [
        findResponseViolations,
        findBoundViolations,
        findLimitViolations,
        findLostRequests,
        findStopViolations,
      ];
      return [...processViolations, ...checks.flatMap((check) => check(record))];
    },
    countRequests() {
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
