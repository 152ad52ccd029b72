import type { Clock, EntryHostId, PoolId } from '@rattanreel/core';
import type { ServerStateMap } from '../pools/types';
import type { HostSummary, ListedServer } from '../types';
import balanceSlotLoans from './balanceSlotLoans';
import type { SlotLoans } from './types';

type WaitingHost = Pick<HostSummary, 'entryHost' | 'waiting'>;

interface PoolLoansOptions {
  readonly pool: PoolId;
  readonly clock: Clock;
  readonly slotLoans: SlotLoans;
  readonly serverStates: ServerStateMap;
  /** Counts the slots of a server that belong to this host. */
  readonly countHomeSlots: (server: ListedServer) => number;
}

interface PoolLoans {
  /** Counts the slots of a server that this host may use. */
  countUsable(server: ListedServer): number;
  /** Records how many requests wait at another host. */
  recordWaiting(host: WaitingHost): void;
  /** Lends and returns free slots; returns whether other hosts must know. */
  balance(ownWaiting: number, reachable: readonly WaitingHost[]): boolean;
}

/** Holds which other hosts need the slots of one brittle pool, and balances them. */
export default function createPoolLoans(options: PoolLoansOptions): PoolLoans {
  const { pool, clock, slotLoans, serverStates, countHomeSlots } = options;
  /** Requests that wait at each host, less what was lent to it since its last message. */
  const waitingByHost = new Map<EntryHostId, number>();

  return {
    countUsable: (server) =>
      slotLoans.getUsable({
        address: server.address,
        home: countHomeSlots(server),
        now: clock.now(),
        isExcluded: (host) => (waitingByHost.get(host) ?? 0) > 0,
      }),
    recordWaiting({ entryHost, waiting }) {
      const counts = Object.values(waiting[pool] ?? {});
      waitingByHost.set(
        entryHost,
        counts.reduce((sum, count) => sum + count, 0),
      );
    },
    balance(ownWaiting, reachable) {
      const names = new Set(reachable.map(({ entryHost }) => entryHost));
      [...waitingByHost.keys()]
        .filter((host) => !names.has(host))
        .forEach((host) => waitingByHost.delete(host));
      return balanceSlotLoans({
        loans: slotLoans,
        servers: [...serverStates.byId.values()].map(({ listed, ownInFlight }) => ({
          address: listed.address,
          home: countHomeSlots(listed),
          ownInFlight,
        })),
        ownWaiting,
        waitingByHost,
        now: clock.now(),
      });
    },
  };
}
