import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';
import getOccupancy from './getOccupancy';

/**
 * Added to the cost of a server in another failure domain, in units of an average request. Traffic
 * between failure domains has a cost, and time within the objective has none, so a same-domain
 * server with a free slot is preferred.
 */
const REMOTE_PENALTY = 1;
/**
 * Weight of the failure rate: a server that fails half of its attempts counts as 3 times as slow.
 */
const FAILURE_WEIGHT = 4;

interface ServerCostOptions {
  readonly now: Milliseconds;
  readonly ownDomain: FailureDomainId;
  /** Slowdown to expect of the server; 1 is usual. */
  readonly slowdown: number;
}

/** Returns the cost of a request at a server by speed, load, failure rate and failure domain. */
export default function getServerCost(
  server: ServerState,
  { now, ownDomain, slowdown }: ServerCostOptions,
): number {
  const loadFactor = 1 + getOccupancy(server, now) / server.listed.slots;
  const remotePenalty = server.listed.failureDomain === ownDomain ? 0 : REMOTE_PENALTY;
  const failureFactor = 1 + FAILURE_WEIGHT * server.failureRate;
  return server.slowness * slowdown * loadFactor * failureFactor + remotePenalty;
}
