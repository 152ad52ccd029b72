import type { ServerState } from '../types';
import chooseServer from './chooseServer';
import getServerCost from './getServerCost';
import hasRoom from './hasRoom';
import tryGetNotReadyReason from './tryGetNotReadyReason';
import type { ChooseServerOptions, PassedOverReason, ServerAssessment } from './types';

/**
 * Returns what `chooseServer` sees of each server, and why it passes over all but the chosen one.
 * For explanations; decisions call `chooseServer`, which allocates less.
 */
export default function assessServers(options: ChooseServerOptions): readonly ServerAssessment[] {
  const { now, ownDomain, servers, excludedServers } = options;
  const { canMeetDeadline = () => true, getSlowdown = () => 1 } = options;
  const chosen = chooseServer(options);

  function tryGetEarlyReason(server: ServerState): PassedOverReason | undefined {
    return excludedServers.has(server.listed.id) ? 'tried' : tryGetNotReadyReason(server, options);
  }

  const isAnyInTime = servers.some(
    (server) => tryGetEarlyReason(server) === undefined && canMeetDeadline(server),
  );

  function tryGetReason(server: ServerState, isInTime: boolean): PassedOverReason | undefined {
    const early = tryGetEarlyReason(server);
    if (early !== undefined || server === chosen) {
      return early;
    }
    if (isAnyInTime && !isInTime) {
      return 'tooSlowForDeadline';
    }
    return hasRoom(server, now) ? 'higherCost' : 'full';
  }

  return servers.map((server) => {
    const slowdown = getSlowdown(server);
    const isInTime = canMeetDeadline(server);
    return {
      server,
      slowdown,
      isInTime,
      cost: getServerCost(server, { now, ownDomain, slowdown }),
      passedOver: tryGetReason(server, isInTime),
    };
  });
}
