import type { BackendServerId, FailureDomainId, Milliseconds, Random } from '@rattanreel/core';
import type { ServerState } from '../types';
import getOccupancy from './getOccupancy';
import isUsableServer from './isUsableServer';

/**
 * Added to a remote server's expected time, relative to an average request: bytes between failure
 * domains cost, and time within the objective does not, so a near server with room goes first.
 */
const REMOTE_PENALTY = 1;
/** Weight of the share of failed attempts: a server that fails half of them counts as three times as slow. */
const FAILURE_WEIGHT = 4;
/** Spread of the random part, so that hosts with the same view do not all choose the same server. */
const RANDOM_SPREAD = 0.15;

/** In a large fleet, what is known of a far server is half a second old: a place stays free for what came since. */
const REMOTE_SLOT_SLACK = -1;

interface ChooseServerOptions {
  readonly servers: readonly ServerState[];
  readonly now: Milliseconds;
  /** Whether the other hosts' requests in flight are all heard of. */
  readonly hasFullPeerView?: boolean;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly excludedServers: ReadonlySet<BackendServerId>;
  /** Whether the request is expected to end in time at a server; ignored where no server is. */
  readonly canMeetDeadline?: (server: ServerState) => boolean;
}

function isUsableNow(server: ServerState, options: ChooseServerOptions): boolean {
  const { now, excludedServers } = options;
  return (
    isUsableServer(server, options) &&
    !excludedServers.has(server.listed.id) &&
    (server.coldUntil <= now || (server.nextColdRequestAt ?? Infinity) <= now)
  );
}

/** Requests beyond its places, or short of them, that a server may be given. */
function getSlack(server: ServerState, options: ChooseServerOptions): number {
  const isRemote = server.listed.failureDomain !== options.ownDomain;
  return isRemote && options.hasFullPeerView === false ? REMOTE_SLOT_SLACK : server.extraSlots;
}

/** The backend server with room at which a request is expected to end first; undefined when none has room. */
export default function chooseServer(options: ChooseServerOptions): ServerState | undefined {
  const { now, random, canMeetDeadline = () => true } = options;
  const usable = options.servers.filter((server) => isUsableNow(server, options));
  const inTime = usable.filter(canMeetDeadline);
  let best: ServerState | undefined;
  let bestCost = Infinity;
  (inTime.length > 0 ? inTime : usable).forEach((server) => {
    const occupancy = getOccupancy(server, now, options.hasFullPeerView ?? true);
    if (occupancy >= server.listed.slots + getSlack(server, options)) {
      return;
    }
    const loadFactor = 1 + occupancy / server.listed.slots;
    const remotePenalty = server.listed.failureDomain === options.ownDomain ? 0 : REMOTE_PENALTY;
    const failureFactor = 1 + FAILURE_WEIGHT * server.failureRate;
    const cost =
      server.slowness * loadFactor * failureFactor + remotePenalty + random.next() * RANDOM_SPREAD;
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  });
  return best;
}
