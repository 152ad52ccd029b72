import type { Milliseconds, RequestId } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import getIncarnationKey from '../getIncarnationKey';
import type { EntryHostIncarnation } from '../types';
import type { BackendServer, InFlight } from './types';

/** The exact account of slots in use, by request and by entry host incarnation. */
interface Ledger {
  readonly size: number;
  tryGet(request: RequestId): InFlight | undefined;
  hold(server: BackendServer, slot: InFlight, now: Milliseconds): void;
  /** Marks the prompt of a slot as computed. */
  prefillDone(server: BackendServer, slot: InFlight, now: Milliseconds): void;
  free(server: BackendServer, slot: InFlight, now: Milliseconds): void;
  slotsOf(from: EntryHostIncarnation): readonly InFlight[];
}

const RELEASES_KEPT = 64;

function advanceStreamTime(server: BackendServer, now: Milliseconds): void {
  server.streamTime += server.inFlight.size * Math.max(0, now - server.streamTimeAt);
  server.streamTimeAt = now;
}

function watchOldest(server: BackendServer): void {
  const oldest = server.pending.values().next().value;
  server.lateAt = oldest?.lateAt ?? Number.POSITIVE_INFINITY;
  server.overdueAt = oldest?.overdueAt ?? Number.POSITIVE_INFINITY;
}

/** Creates an empty ledger. */
export default function createLedger(): Ledger {
  const slots = new Map<RequestId, InFlight>();
  const byHost = new Map<string, Map<RequestId, InFlight>>();

  function hostSlots(from: EntryHostIncarnation): Map<RequestId, InFlight> {
    const key = getIncarnationKey(from);
    let held = byHost.get(key);
    if (held === undefined) {
      held = new Map();
      byHost.set(key, held);
    }
    return held;
  }

  function forgetHostSlot(slot: InFlight): void {
    const held = hostSlots(slot.from);
    held.delete(slot.request);
    if (held.size === 0) {
      byHost.delete(getIncarnationKey(slot.from));
    }
  }

  return {
    get size() {
      return slots.size;
    },
    tryGet: (request) => slots.get(request),
    hold(server, slot, now) {
      const isFree = !slots.has(slot.request);
      Debug.invariant(isFree, 'slot-held-twice', () => `request ${slot.request} holds two slots`);
      advanceStreamTime(server, now);
      slots.set(slot.request, slot);
      hostSlots(slot.from).set(slot.request, slot);
      server.inFlight.set(slot.request, slot);
      if (slot.firstTokenAt === undefined) {
        server.pending.add(slot);
        watchOldest(server);
      }
      server.reservedTokens += slot.reservedTokens;
      server.prefillTokens += slot.prefillTokens;
    },
    prefillDone(server, slot, now) {
      advanceStreamTime(server, now);
      server.prefillTokens -= slot.prefillTokens;
      slot.prefillTokens = 0;
      server.pending.delete(slot);
      watchOldest(server);
      slot.firstTokenAt = now;
      slot.streamTimeAtFirstToken = server.streamTime;
    },
    free(server, slot, now) {
      advanceStreamTime(server, now);
      slots.delete(slot.request);
      forgetHostSlot(slot);
      server.inFlight.delete(slot.request);
      server.pending.delete(slot);
      watchOldest(server);
      server.reservedTokens -= slot.reservedTokens;
      server.prefillTokens -= slot.prefillTokens;
      server.recentReleases.push(now);
      if (server.recentReleases.length > RELEASES_KEPT) {
        server.recentReleases.shift();
      }
    },
    slotsOf: (from) => [...(byHost.get(getIncarnationKey(from))?.values() ?? [])],
  };
}
