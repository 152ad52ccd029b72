import type { Milliseconds, RequestId } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import getIncarnationKey from '../getIncarnationKey';
import type { EntryHostIncarnation } from '../types';
import type { BackendServer, OccupiedSlot } from './types';

/** Exact record of the occupied slots, by request and by entry host incarnation. */
interface SlotTable {
  readonly size: number;
  tryGet(request: RequestId): OccupiedSlot | undefined;
  occupy(server: BackendServer, slot: OccupiedSlot, now: Milliseconds): void;
  /** Marks the prompt of a slot as computed. */
  completePrefill(server: BackendServer, slot: OccupiedSlot, now: Milliseconds): void;
  release(server: BackendServer, slot: OccupiedSlot, now: Milliseconds): void;
  getSlotsOfHost(from: EntryHostIncarnation): readonly OccupiedSlot[];
}

const MAXIMUM_RECENT_RELEASES = 64;

function advanceStreamTime(server: BackendServer, now: Milliseconds): void {
  server.streamTime += server.inFlight.size * Math.max(0, now - server.streamTimeUpdatedAt);
  server.streamTimeUpdatedAt = now;
}

function updateFirstTokenDeadlines(server: BackendServer): void {
  const oldest = server.awaitingFirstToken.values().next().value;
  server.lateAt = oldest?.lateAt ?? Number.POSITIVE_INFINITY;
  server.overdueAt = oldest?.overdueAt ?? Number.POSITIVE_INFINITY;
}

/** Creates an empty slot table. */
export default function createSlotTable(): SlotTable {
  const slots = new Map<RequestId, OccupiedSlot>();
  const slotsByHost = new Map<string, Map<RequestId, OccupiedSlot>>();

  function getOrCreateHostSlots(from: EntryHostIncarnation): Map<RequestId, OccupiedSlot> {
    const key = getIncarnationKey(from);
    let hostSlots = slotsByHost.get(key);
    if (hostSlots === undefined) {
      hostSlots = new Map();
      slotsByHost.set(key, hostSlots);
    }
    return hostSlots;
  }

  function removeHostSlot(slot: OccupiedSlot): void {
    const hostSlots = getOrCreateHostSlots(slot.from);
    hostSlots.delete(slot.request);
    if (hostSlots.size === 0) {
      slotsByHost.delete(getIncarnationKey(slot.from));
    }
  }

  return {
    get size() {
      return slots.size;
    },
    tryGet: (request) => slots.get(request),
    occupy(server, slot, now) {
      const isFree = !slots.has(slot.request);
      Debug.invariant(isFree, 'slot-held-twice', () => `request ${slot.request} holds two slots`);
      advanceStreamTime(server, now);
      slots.set(slot.request, slot);
      getOrCreateHostSlots(slot.from).set(slot.request, slot);
      server.inFlight.set(slot.request, slot);
      if (slot.firstTokenAt === undefined) {
        server.awaitingFirstToken.add(slot);
        updateFirstTokenDeadlines(server);
      }
      server.reservedTokens += slot.reservedTokens;
      server.prefillTokens += slot.prefillTokens;
    },
    completePrefill(server, slot, now) {
      advanceStreamTime(server, now);
      server.prefillTokens -= slot.prefillTokens;
      slot.prefillTokens = 0;
      server.awaitingFirstToken.delete(slot);
      updateFirstTokenDeadlines(server);
      slot.firstTokenAt = now;
      slot.streamTimeAtFirstToken = server.streamTime;
    },
    release(server, slot, now) {
      advanceStreamTime(server, now);
      slots.delete(slot.request);
      removeHostSlot(slot);
      server.inFlight.delete(slot.request);
      server.awaitingFirstToken.delete(slot);
      updateFirstTokenDeadlines(server);
      server.reservedTokens -= slot.reservedTokens;
      server.prefillTokens -= slot.prefillTokens;
      server.recentReleaseTimes.push(now);
      if (server.recentReleaseTimes.length > MAXIMUM_RECENT_RELEASES) {
        server.recentReleaseTimes.shift();
      }
    },
    getSlotsOfHost: (from) => [...(slotsByHost.get(getIncarnationKey(from))?.values() ?? [])],
  };
}
