import type { PoolRoom, PoolRoomColumns } from './types';

/** Turns rooms into columns for sending. */
export default function roomsToColumns(rooms: readonly PoolRoom[]): PoolRoomColumns {
  return {
    pools: rooms.map(({ pool }) => pool),
    spareTokens: rooms.map(({ spareTokens }) => spareTokens),
    queuedTokens: rooms.map(({ queuedTokens }) => queuedTokens),
    drained: rooms.map(({ drained }) => drained),
  };
}
