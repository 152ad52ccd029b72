import createAccountOf from '../pools/createAccount';
import type { ListedServer, ServerAccount } from '../types';

/** A backend server as tests list it. */
export default function createAccount(listed: Partial<ListedServer> = {}): ServerAccount {
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
  return createAccountOf(complete, 0);
}
