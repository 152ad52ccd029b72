import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import type { SlotLoans } from './types';

/** A brittle server, as the host that balances its slots knows it. */
interface LoanedServer {
  readonly address: string;
  /** Slots that belong to this host. */
  readonly home: number;
  readonly ownInFlight: number;
}

interface BalanceOptions {
  readonly loans: SlotLoans;
  readonly servers: readonly LoanedServer[];
  /** Requests that wait for a slot of the pool at this host. */
  readonly ownWaiting: number;
  /** Requests that wait at other hosts, less the slots lent to each since it said so. */
  readonly waitingByHost: Map<EntryHostId, number>;
  readonly now: Milliseconds;
}

function getFree({ loans, now }: BalanceOptions, server: LoanedServer): number {
  return loans.getUsable({ ...server, now }) - server.ownInFlight;
}

/** Returns free borrowed slots that this host does not need, or that their owner needs. */
function giveBackFree(options: BalanceOptions, server: LoanedServer): boolean {
  const { loans, ownWaiting, waitingByHost, now } = options;
  let free = getFree(options, server);
  let isChanged = false;
  loans.listBorrowed(server.address, now).forEach(({ host, slots, isUsable }) => {
    const isWanted = ownWaiting > 0 && isUsable && (waitingByHost.get(host) ?? 0) <= 0;
    // Requests in flight may be on slots that must not be used any more: those free are the rest.
    const available = isUsable ? free : Math.min(free + slots, slots);
    const given = isWanted ? 0 : Math.max(Math.min(slots, available), 0);
    Array.from({ length: given }).forEach(() => loans.giveBack(host, server.address, now));
    free -= isUsable ? given : 0;
    isChanged ||= given > 0;
  });
  return isChanged;
}

/** Lends free slots of this host to those with the most waiting requests. */
function lendFree(options: BalanceOptions, server: LoanedServer): boolean {
  const { loans, waitingByHost, now } = options;
  let isChanged = false;
  for (let free = getFree(options, server); free > 0; free -= 1) {
    const [most] = [...waitingByHost]
      .filter(([, waiting]) => waiting > 0)
      .sort(([, left], [, right]) => right - left);
    if (most === undefined || !loans.tryLend(most[0], { ...server, now })) {
      return isChanged;
    }
    waitingByHost.set(most[0], most[1] - 1);
    isChanged = true;
  }
  return isChanged;
}

/**
 * Moves free slots of a brittle pool to the hosts at which requests wait, and back once their owner
 * needs them or their borrower does not. Handles callers that a load balancer spreads unevenly over
 * hosts. Returns whether anything changed that other hosts must know.
 */
export default function balanceSlotLoans(options: BalanceOptions): boolean {
  const changed = options.servers.filter((server) => {
    const isGivenBack = giveBackFree(options, server);
    const isLent = options.ownWaiting === 0 && lendFree(options, server);
    return isGivenBack || isLent;
  });
  return changed.length > 0;
}
