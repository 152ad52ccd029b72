import type { ListedServer, ServerAccount } from '../types';

/** A backend server as tests list it. */
export default function createAccount(listed: Partial<ListedServer> = {}): ServerAccount {
  return {
    listed: {
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
    },
    own: 0,
    others: 0,
    reportedOthers: 0,
    reportedAt: -Infinity,
    slowness: 1,
    failures: 0,
    failureShare: 0,
    avoidedUntil: 0,
    coldUntil: 0,
    nextColdAt: undefined,
  };
}
