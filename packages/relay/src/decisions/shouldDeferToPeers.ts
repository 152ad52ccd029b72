interface ShouldDeferOptions {
  /** Rank of this host's most urgent request. */
  readonly rank: number;
  readonly freeSlots: number;
  /** Requests that wait at the other hosts, by rank. */
  readonly peerQueuedByRank: ReadonlyMap<number, number>;
}

/**
 * Whether the free places belong to more urgent requests that wait at other hosts. Without it a host
 * whose own line is short serves late work while work in time waits elsewhere.
 */
export default function shouldDeferToPeers(options: ShouldDeferOptions): boolean {
  let higherPriorityRequests = 0;
  options.peerQueuedByRank.forEach((count, rank) => {
    higherPriorityRequests += rank < options.rank ? count : 0;
  });
  return higherPriorityRequests > 0 && options.freeSlots <= higherPriorityRequests;
}
