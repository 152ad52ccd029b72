import type { Milliseconds } from '@rattanreel/core';
import type { ServerState } from '../types';
import getOccupancy from './getOccupancy';

/** Returns whether this host may send a server one more request. */
export default function hasRoom(server: ServerState, now: Milliseconds): boolean {
  const { listed, ownSlots, ownInFlight, extraSlots } = server;
  const occupancy = getOccupancy(server, now);
  return ownSlots === undefined
    ? occupancy < listed.slots + extraSlots
    : occupancy < listed.slots && ownInFlight < ownSlots;
}
