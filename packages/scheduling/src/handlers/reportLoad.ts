import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import setStanding from '../servers/setStanding';
import type { BackendServer } from '../servers/types';
import type { LoadReported } from '../types';

const STREAMS_OF_SKEW = 1;

function restart(state: SchedulerState, server: BackendServer, reason: string): void {
  server.limit.restart();
  server.health.reset();
  server.prefixes.clear();
  server.speed.forget();
  if (server.standing === 'serving') {
    setStanding(state, server, 'slowStart', reason);
  }
}

/** Streams that the report shows and this scheduler cannot account for, at the time of the report. */
function unknownStreams(server: BackendServer, report: LoadReported, now: Milliseconds): number {
  const takenAt = now - report.reportAge;
  let known = 0;
  server.inFlight.forEach((slot) => {
    known += slot.grantedAt <= takenAt ? 1 : 0;
  });
  known += server.recentReleases.filter((releasedAt) => releasedAt >= takenAt).length;
  const shown = report.runningRequests + report.waitingRequests;
  return Math.max(0, shown - known - STREAMS_OF_SKEW);
}

function updateReadiness(state: SchedulerState, server: BackendServer, report: LoadReported): void {
  if (report.ready && !server.ready) {
    restart(state, server, 'ready again');
  }
  if (report.version !== server.version) {
    restart(state, server, 'other version');
  }
  server.ready = report.ready;
  server.version = report.version;
  if (report.leaving !== server.leaving) {
    server.leaving = report.leaving;
    setStanding(state, server, report.leaving ? 'leaving' : 'slowStart', 'announced');
  }
  state.poolSpeed = undefined;
}

/** Takes a backend server's own account of its load, corrected by what has happened since. */
export default function reportLoad(
  state: SchedulerState,
  report: LoadReported,
  now: Milliseconds,
): void {
  const server = state.servers.get(report.backendServer);
  if (server === undefined) {
    return;
  }
  const isNew =
    server.incarnation !== undefined && server.incarnation !== report.backendServerIncarnation;
  server.incarnation = report.backendServerIncarnation;
  if (isNew) {
    restart(state, server, 'new incarnation');
  }
  if (report.memoryTokensTotal > 0) {
    server.memoryTokens = report.memoryTokensTotal;
  }
  updateReadiness(state, server, report);
  server.unknownStreams = unknownStreams(server, report, now);
  if (report.waitingRequests > 0 && !server.limit.isSlowStart) {
    server.limit.congested(now);
  }
  grantQueued(state, now);
}
