import createServerState from '../pools/createServerState';
import type { ListedServer, ServerState } from '../types';

/** Creates the state of a backend server for tests; omitted properties have defaults. */
export default function createTestServer(listed: Partial<ListedServer> = {}): ServerState {
  const complete: ListedServer = {
    id: 'server-1',
    pool: 'pool',
    address: '127.0.0.1:1',
    failureDomain: 'near',
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldFor: 0,
    startedAt: undefined,
    ...listed,
  };
  return createServerState(complete, 0);
}
