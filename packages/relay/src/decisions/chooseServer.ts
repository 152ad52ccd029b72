import type { ServerState } from '../types';
import hasRoom from './hasRoom';
import getServerCost from './getServerCost';
import isReadyServer from './isReadyServer';
import type { ChooseServerOptions } from './types';

/** Range of the random term, so that hosts with the same view do not all choose the same server. */
const RANDOM_SPREAD = 0.15;

/**
 * Returns the server with a free slot and the lowest cost by speed, load, failure rate and failure
 * domain, among those expected to meet the deadline if there are any; undefined if none has a free
 * slot.
 */
export default function chooseServer(options: ChooseServerOptions): ServerState | undefined {
  const { now, random, ownDomain, canMeetDeadline = () => true, getSlowdown = () => 1 } = options;
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
    const cost =
      getServerCost(server, { now, ownDomain, slowdown: getSlowdown(server) }) +
      random.next() * RANDOM_SPREAD;
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  });
  return best;
}
