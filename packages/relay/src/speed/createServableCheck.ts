import type { Milliseconds } from '@rattanreel/core';
import hasRoom from '../decisions/hasRoom';
import type { QueuedRequest, ServerState } from '../types';

interface ServableCheckOptions {
  /** Servers to which any request may be sent now; those without a free slot included. */
  readonly usable: readonly ServerState[];
  readonly now: Milliseconds;
  /** Returns the time that a server takes for its work, relative to the average. */
  readonly getSlowness: (server: ServerState) => number;
  /** Returns whether a server of this slowness meets the request's deadline; slower ones do less. */
  readonly canMeetDeadline: (slowness: number, request: QueuedRequest) => boolean;
}

/**
 * Creates a check whether `chooseServer` finds a server for a request, for many requests at one
 * moment. Since deadlines that a slow server meets are met by faster ones, the fastest usable server
 * and the fastest one with a free slot decide for all. Load pattern: hundreds of requests wait while
 * the only free slots are at servers too slow for them; examining each server for each request took
 * a scheduler more time than it had. Requests that exclude servers are not covered.
 */
export default function createServableCheck({
  usable,
  now,
  getSlowness,
  canMeetDeadline,
}: ServableCheckOptions): (request: QueuedRequest) => boolean {
  const withRoom = usable.filter((server) => hasRoom(server, now));
  const fastestUsable = Math.min(...usable.map(getSlowness));
  const fastestWithRoom = Math.min(...withRoom.map(getSlowness));
  return (request) =>
    withRoom.length > 0 &&
    (canMeetDeadline(fastestWithRoom, request) || !canMeetDeadline(fastestUsable, request));
}
