import type { BackendServerStanding } from '../types';
import type { BackendServer } from './types';

/** Standing of a backend server that is brought back or no longer leaves. */
export default function getRestoredStanding(server: BackendServer): BackendServerStanding {
  if (server.settings.drained) {
    return 'drained';
  }
  return server.leaving ? 'leaving' : 'slowStart';
}
