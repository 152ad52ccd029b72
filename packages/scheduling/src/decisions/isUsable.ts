import type { BackendServer } from '../servers/types';

/** Whether a backend server may get new work at all, room aside. */
export default function isUsable(server: BackendServer): boolean {
  return (
    !server.settings.drained && !server.leaving && server.ready && server.standing !== 'ejected'
  );
}
