import type { Milliseconds } from '@rattanreel/core';
import flushUnservableQueue from '../decisions/flushUnservableQueue';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import setStanding from '../servers/setStanding';
import getRestoredStanding from '../servers/getRestoredStanding';
import resetToSlowStart from '../servers/resetToSlowStart';
import type { BackendServer } from '../servers/types';
import type { LoadReported } from '../types';

const TOLERATED_STREAM_SKEW = 1;

/**
 * Resets a backend server that has restarted: the new process is cold, and it is not ejected for
 * failures of the previous one.
 */
function resetAfterRestart(
  state: SchedulerState,
  server: BackendServer,
  reason: string,
  now: Milliseconds,
): void {
  resetToSlowStart(state, server, reason, now);
  if (server.standing === 'ejected' || server.standing === 'probing') {
    server.probeAt = undefined;
    setStanding(state, server, 'slowStart', reason);
  }
}

/**
 * Counts the streams that the report shows and that this scheduler cannot account for at the time
 * of the report.
 */
function countUnaccountedStreams(
  server: BackendServer,
  report: LoadReported,
  now: Milliseconds,
): number {
  const takenAt = now - report.reportAge;
  let knownStreams = 0;
  server.inFlight.forEach((slot) => {
    knownStreams += slot.grantedAt <= takenAt ? 1 : 0;
  });
  knownStreams += server.recentReleaseTimes.filter((releasedAt) => releasedAt >= takenAt).length;
  const reportedStreams = report.runningRequests + report.waitingRequests;
  return Math.max(0, reportedStreams - knownStreams - TOLERATED_STREAM_SKEW);
}

function updateReadiness(
  state: SchedulerState,
  server: BackendServer,
  report: LoadReported,
  now: Milliseconds,
): void {
  if (report.ready && !server.ready) {
    resetAfterRestart(state, server, 'ready again', now);
  }
  if (report.version !== server.version) {
    // Times under the new version are compared with the speed of this hardware under the old one.
    server.previousVersionSpeed = server.speed.hasEnoughSamples
      ? server.speed.snapshot()
      : undefined;
    server.hasChangedVersion = true;
    resetAfterRestart(state, server, 'other version', now);
  }
  server.ready = report.ready;
  server.version = report.version;
  if (report.leaving !== server.leaving) {
    server.leaving = report.leaving;
    server.streamLimit.restartSlowStart(now);
    setStanding(
      state,
      server,
      report.leaving ? 'leaving' : getRestoredStanding(server),
      'announced',
    );
  }
  state.poolThroughput = undefined;
}

/** Applies a backend server's load report, corrected for grants and releases since it was taken. */
export default function handleLoadReported(
  state: SchedulerState,
  report: LoadReported,
  now: Milliseconds,
): void {
  const server = state.servers.get(report.backendServer);
  if (server === undefined) {
    return;
  }
  const hasRestarted =
    server.incarnation !== undefined && server.incarnation !== report.backendServerIncarnation;
  server.incarnation = report.backendServerIncarnation;
  if (hasRestarted) {
    resetAfterRestart(state, server, 'new incarnation', now);
  }
  if (report.memoryTokensTotal > 0) {
    server.memoryTokens = report.memoryTokensTotal;
  }
  updateReadiness(state, server, report, now);
  server.unaccountedStreams = countUnaccountedStreams(server, report, now);
  if (report.waitingRequests > 0 && !server.streamLimit.isSlowStart) {
    server.streamLimit.recordCongestion(now);
  }
  flushUnservableQueue(state, now);
  grantQueued(state, now);
}
