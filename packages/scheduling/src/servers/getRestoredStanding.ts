import type { BackendServerStanding } from '../types';
import type { BackendServer } from './types';

/** Returns the standing of a backend server that is no longer drained or no longer leaving. */
export default function getRestoredStanding(server: BackendServer): BackendServerStanding {
  if (server.settings.drained) {
    return 'drained';
  }
  return server.leaving ? 'leaving' : 'slowStart';
}
