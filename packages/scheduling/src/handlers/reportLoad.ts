import type { Milliseconds } from '@rattanreel/core';
import abandonQueue from '../decisions/abandonQueue';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import setStanding from '../servers/setStanding';
import getReturnStanding from '../servers/getReturnStanding';
import turnCold from '../servers/turnCold';
import type { BackendServer } from '../servers/types';
import type { LoadReported } from '../types';

const STREAMS_OF_SKEW = 1;

/** A process that has started anew is cold, and no longer ejected for what the last one did. */
function startAnew(
  state: SchedulerState,
  server: BackendServer,
  reason: string,
  now: Milliseconds,
): void {
  turnCold(state, server, reason, now);
  if (server.standing === 'ejected' || server.standing === 'probing') {
    server.probeAt = undefined;
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

function updateReadiness(
  state: SchedulerState,
  server: BackendServer,
  report: LoadReported,
  now: Milliseconds,
): void {
  if (report.ready && !server.ready) {
    startAnew(state, server, 'ready again', now);
  }
  if (report.version !== server.version) {
    // Times under the new version are judged by what this hardware did under the old one.
    server.speedBefore = server.speed.isLearnt ? server.speed.freeze() : undefined;
    server.hasChangedVersion = true;
    startAnew(state, server, 'other version', now);
  }
  server.ready = report.ready;
  server.version = report.version;
  if (report.leaving !== server.leaving) {
    server.leaving = report.leaving;
    server.limit.restart(now);
    setStanding(state, server, report.leaving ? 'leaving' : getReturnStanding(server), 'announced');
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
    startAnew(state, server, 'new incarnation', now);
  }
  if (report.memoryTokensTotal > 0) {
    server.memoryTokens = report.memoryTokensTotal;
  }
  updateReadiness(state, server, report, now);
  server.unknownStreams = unknownStreams(server, report, now);
  if (report.waitingRequests > 0 && !server.limit.isSlowStart) {
    server.limit.congested(now);
  }
  abandonQueue(state, now);
  grantQueued(state, now);
}
