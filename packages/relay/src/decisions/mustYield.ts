interface MustYieldOptions {
  /** Rank of this host's most urgent request. */
  readonly rank: number;
  readonly freePlaces: number;
  /** Requests that wait at the other hosts, by rank. */
  readonly othersWaiting: ReadonlyMap<number, number>;
}

/**
 * Whether the free places belong to more urgent requests that wait at other hosts. Without it a host
 * whose own line is short serves late work while work in time waits elsewhere.
 */
export default function mustYield(options: MustYieldOptions): boolean {
  let ahead = 0;
  options.othersWaiting.forEach((count, rank) => {
    ahead += rank < options.rank ? count : 0;
  });
  return ahead > 0 && options.freePlaces <= ahead;
}
