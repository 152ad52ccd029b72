import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import type { ReleaseOutcome } from '../types';
import setStanding from './setStanding';
import resetToSlowStart from './resetToSlowStart';
import type { BackendServer, HealthAssessment } from './types';

const EJECTION_MILLISECONDS: Milliseconds = 2_000;
const MAXIMUM_EJECTION_MILLISECONDS: Milliseconds = 30_000;
const EJECTION_JITTER = 0.5;
const MAXIMUM_EJECTED_SHARE = 0.5;
const FAILED_PROBE_OUTCOMES: ReadonlySet<string> = new Set<ReleaseOutcome>([
  'notConnected',
  'backendServerFailed',
  'backendServerRefused',
  'silent',
]);

function canEject(state: SchedulerState): boolean {
  let ejected = 0;
  state.servers.forEach((server) => {
    ejected += server.standing === 'ejected' || server.standing === 'probing' ? 1 : 0;
  });
  return ejected + 1 <= state.servers.size * MAXIMUM_EJECTED_SHARE;
}

function eject(
  state: SchedulerState,
  server: BackendServer,
  reason: string,
  now: Milliseconds,
): void {
  if (server.standing === 'ejected') {
    return;
  }
  if (server.standing !== 'probing' && !canEject(state)) {
    resetToSlowStart(state, server, `${reason}; too many ejected`, now);
    return;
  }
  const ejectionTime = Math.min(
    MAXIMUM_EJECTION_MILLISECONDS,
    EJECTION_MILLISECONDS * 2 ** server.consecutiveEjections,
  );
  server.consecutiveEjections += 1;
  server.probeAt = now + ejectionTime * (1 + EJECTION_JITTER * state.random.next());
  resetToSlowStart(state, server, reason, now);
  setStanding(state, server, 'ejected', reason);
}

/**
 * Acts on a health assessment: ejects a bad backend server, resets a cold one to slow start, lowers
 * the stream limit of a suspect one, and ends probing or slow start of a good one after a completed
 * request.
 */
export default function applyHealthAssessment(
  state: SchedulerState,
  server: BackendServer,
  assessment: HealthAssessment,
  reason: string,
  now: Milliseconds,
): void {
  const isFailedProbe = server.standing === 'probing' && FAILED_PROBE_OUTCOMES.has(reason);
  if (assessment === 'bad' || isFailedProbe) {
    eject(state, server, reason, now);
  } else if (assessment === 'cold') {
    resetToSlowStart(state, server, reason, now);
  } else if (assessment === 'suspect') {
    server.streamLimit.recordCongestion(now);
  } else if (reason === 'completed') {
    if (server.standing === 'probing') {
      setStanding(state, server, 'slowStart', 'probe answered');
    } else if (server.standing === 'slowStart' && !server.streamLimit.isSlowStart) {
      server.consecutiveEjections = 0;
      setStanding(state, server, 'serving', 'warm');
    }
  }
}
