import type { BackendServer } from '../servers/types';
import type { SchedulerState } from './types';

/** Whether a backend server may get new requests, regardless of its free capacity. */
export default function isUsable(state: SchedulerState, server: BackendServer): boolean {
  return (
    !server.settings.drained &&
    !server.leaving &&
    server.ready &&
    server.standing !== 'ejected' &&
    state.versionShares.hasShare(server.version)
  );
}
