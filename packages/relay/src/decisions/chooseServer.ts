import type { BackendServerId, FailureDomainId, Milliseconds, Random } from '@rattanreel/core';
import type { ServerState } from '../types';
import type { ServerEmbargo } from './types';
import getOccupancy from './getOccupancy';
import hasRoom from './hasRoom';
import isReadyServer from './isReadyServer';

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
/** Range of the random term, so that hosts with the same view do not all choose the same server. */
const RANDOM_SPREAD = 0.15;

interface ChooseServerOptions {
  readonly servers: readonly ServerState[];
  readonly now: Milliseconds;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  /** Servers that asked this host to send nothing. */
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
  readonly excludedServers: ReadonlySet<BackendServerId>;
  /** Returns the slowdown to expect of a server; 1 is usual. */
  readonly getSlowdown?: (server: ServerState) => number;
  /** Returns whether a server whose version is on trial may get a request now. */
  readonly mayTry?: (server: ServerState) => boolean;
  /**
   * Returns whether the request is expected to meet its deadline at a server; ignored if no usable
   * server can meet it.
   */
  readonly canMeetDeadline?: (server: ServerState) => boolean;
}

/**
 * Returns the server with a free slot and the lowest cost by speed, load, failure rate and failure
 * domain, among those expected to meet the deadline if there are any; undefined if none has a free
 * slot.
 */
export default function chooseServer(options: ChooseServerOptions): ServerState | undefined {
  const { now, random, canMeetDeadline = () => true, getSlowdown = () => 1 } = options;
  const usable = options.servers.filter(
    (server) => !options.excludedServers.has(server.listed.id) && isReadyServer(server, options),
  );
  const inTime = usable.filter(canMeetDeadline);
  let best: ServerState | undefined;
  let bestCost = Infinity;
  (inTime.length > 0 ? inTime : usable).forEach((server) => {
    if (!hasRoom(server, now)) {
      return;
    }
    const loadFactor = 1 + getOccupancy(server, now) / server.listed.slots;
    const remotePenalty = server.listed.failureDomain === options.ownDomain ? 0 : REMOTE_PENALTY;
    const failureFactor = 1 + FAILURE_WEIGHT * server.failureRate;
    const cost =
      server.slowness * getSlowdown(server) * loadFactor * failureFactor +
      remotePenalty +
      random.next() * RANDOM_SPREAD;
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  });
  return best;
}
