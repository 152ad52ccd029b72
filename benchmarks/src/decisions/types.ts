/** Figures of the decision benchmark. */

/** Cost of decisions at one size of the queue and of the pool. */
export interface DecisionFigure {
  readonly engines: number;
  readonly queued: number;
  /** Median over the rounds of the mean time that one release with its grant takes. */
  readonly microsecondsPerGrant: number;
  /**
   * Median over the rounds of the mean time that one request for a grant takes while no slot is
   * free.
   */
  readonly microsecondsPerRequest: number;
}

/** Growth of the cost of a grant with the queue, for one size of the pool. */
export interface DecisionGrowth {
  readonly engines: number;
  /**
   * Slope of the logarithm of the cost over that of the queue length; 0 is constant and 1 linear.
   */
  readonly slope: number;
  readonly ratioOf10000To100: number;
}

export interface DecisionResult {
  readonly benchmark: 'decisions';
  readonly seed: number;
  readonly figures: readonly DecisionFigure[];
  readonly growth: readonly DecisionGrowth[];
  readonly bytesPerQueuedRequest: number | undefined;
  readonly targetRatio: number;
  readonly meetsTarget: boolean;
}
