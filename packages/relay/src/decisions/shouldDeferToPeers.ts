interface ShouldDeferOptions {
  /** Rank of the next request in this host's queue. */
  readonly rank: number;
  readonly freeSlots: number;
  /** Queued requests of the other hosts, by rank. */
  readonly peerQueuedByRank: ReadonlyMap<number, number>;
}

/**
 * Returns whether the free slots should be left to requests of higher priority that are queued at
 * other hosts. Otherwise a host with a short queue would serve late work while requests that can
 * still be in time wait elsewhere.
 */
export default function shouldDeferToPeers(options: ShouldDeferOptions): boolean {
  let higherPriorityRequests = 0;
  options.peerQueuedByRank.forEach((count, rank) => {
    higherPriorityRequests += rank < options.rank ? count : 0;
  });
  return higherPriorityRequests > 0 && options.freeSlots <= higherPriorityRequests;
}
