/** Types of the computation of results. */

/**
 * Shares of an iteration's fixed cost that are attributed to each limit of the batch; they add up
 * to 1.
 */
export interface BatchAttribution {
  readonly byStreams: number;
  readonly byMemory: number;
  readonly byPrefill: number;
}
