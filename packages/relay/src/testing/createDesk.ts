import { createRandom } from '@rattanreel/core';
import type { Clock } from '@rattanreel/core';
import createPoolDesk from '../pools/createPoolDesk';
import createServerAccounts from '../pools/createServerAccounts';
import type { PoolDesk } from '../pools/types';
import createAccount from './createAccount';

interface DeskOptions {
  readonly clock: Clock;
  readonly servers: number;
  /** Requests that each server runs at once. */
  readonly slots: number;
}

/** The desk of a pool whose servers are all near, warm and of one speed, at a host without others. */
export default function createDesk({ clock, servers, slots }: DeskOptions): PoolDesk {
  const accounts = createServerAccounts();
  accounts.replace(
    Array.from({ length: servers }, (_, index) => createAccount({ id: `s${index}`, slots }).listed),
    0,
  );
  return createPoolDesk({
    clock,
    random: createRandom(3),
    ownDomain: 'near',
    accounts,
    getEvacuated: () => new Set(),
    hearsAll: () => true,
    getSettings: () => undefined,
    onChange: () => undefined,
    getColdInterval: () => 0,
    bounds: {
      repeatRatio: 0.2,
      repeatWindow: 10_000,
      repeatSlack: 50,
      coldFactor: 1,
      coldSlack: 0,
      stopGrace: 8_000,
    },
  });
}
