import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import type { ReleaseOutcome } from '../types';
import setStanding from './setStanding';
import turnCold from './turnCold';
import type { BackendServer, HealthVerdict } from './types';

const EJECTION_MILLISECONDS: Milliseconds = 2_000;
const LONGEST_EJECTION_MILLISECONDS: Milliseconds = 30_000;
const EJECTION_JITTER = 0.5;
const MOST_EJECTED_SHARE = 0.5;
const FAILED_PROBES: ReadonlySet<string> = new Set<ReleaseOutcome>([
  'notConnected',
  'backendServerFailed',
  'backendServerRefused',
  'silent',
]);

function mayEject(state: SchedulerState): boolean {
  let ejected = 0;
  state.servers.forEach((server) => {
    ejected += server.standing === 'ejected' || server.standing === 'probing' ? 1 : 0;
  });
  return ejected + 1 <= state.servers.size * MOST_EJECTED_SHARE;
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
  if (server.standing !== 'probing' && !mayEject(state)) {
    turnCold(state, server, `${reason}; too many ejected`, now);
    return;
  }
  const span = Math.min(
    LONGEST_EJECTION_MILLISECONDS,
    EJECTION_MILLISECONDS * 2 ** server.ejections,
  );
  server.ejections += 1;
  server.probeAt = now + span * (1 + EJECTION_JITTER * state.random.next());
  turnCold(state, server, reason, now);
  setStanding(state, server, 'ejected', reason);
}

/** Acts on a verdict of the health monitor: slow start when cold, ejection when bad, return from probing when good. */
export default function judgeHealth(
  state: SchedulerState,
  server: BackendServer,
  verdict: HealthVerdict,
  reason: string,
  now: Milliseconds,
): void {
  const isFailedProbe = server.standing === 'probing' && FAILED_PROBES.has(reason);
  if (verdict === 'bad' || isFailedProbe) {
    eject(state, server, reason, now);
  } else if (verdict === 'cold') {
    turnCold(state, server, reason, now);
  } else if (verdict === 'suspect') {
    server.limit.congested(now);
  } else if (reason === 'completed') {
    if (server.standing === 'probing') {
      setStanding(state, server, 'slowStart', 'probe answered');
    } else if (server.standing === 'slowStart' && !server.limit.isSlowStart) {
      server.ejections = 0;
      setStanding(state, server, 'serving', 'warm');
    }
  }
}
