import type { SchedulerState } from '../decisions/types';
import type { BackendServerStanding } from '../types';
import type { BackendServer } from './types';

function isActiveStanding(standing: BackendServerStanding): boolean {
  return standing === 'serving' || standing === 'slowStart' || standing === 'probing';
}

/** Changes a backend server's standing and emits an effect for each change. */
export default function setStanding(
  state: SchedulerState,
  server: BackendServer,
  standing: BackendServerStanding,
  reason: string,
): void {
  if (server.standing === standing) {
    return;
  }
  if (isActiveStanding(server.standing) !== isActiveStanding(standing)) {
    state.poolThroughput = undefined;
  }
  server.standing = standing;
  state.effects.push({
    kind: 'standingChanged',
    backendServer: server.settings.id,
    standing,
    reason,
  });
}
