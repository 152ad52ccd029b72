import type { SchedulerState } from '../decisions/types';
import type { BackendServerStanding } from '../types';
import type { BackendServer } from './types';

/** Changes a backend server's standing and says so, once for each change. */
export default function setStanding(
  state: SchedulerState,
  server: BackendServer,
  standing: BackendServerStanding,
  reason: string,
): void {
  if (server.standing === standing) {
    return;
  }
  server.standing = standing;
  state.poolSpeed = undefined;
  state.effects.push({
    kind: 'standingChanged',
    backendServer: server.settings.id,
    standing,
    reason,
  });
}
