import type { BackendServerId, Milliseconds, VersionId } from '@rattanreel/core';
import type { EngineOrder, PlacedServer, PlacementPolicy } from './types';

interface OrderedLoad {
  readonly version: VersionId;
  readonly at: Milliseconds;
}

interface OutstandingOrder {
  readonly order: EngineOrder;
  readonly sentAt: Milliseconds;
}

/** Tracks the orders in flight and the last load of each server, which decide whether it may get another order. */
interface EngineOrderTracker {
  recordSent(backendServer: BackendServerId, order: EngineOrder, now: Milliseconds): void;
  /** Removes and returns an answered order; undefined when it was not in flight. */
  removeAnswered(backendServer: BackendServerId): EngineOrder | undefined;
  /** Removes the orders that can no longer be answered and returns their servers. */
  removeExpired(now: Milliseconds): readonly BackendServerId[];
  /** Whether an order is in flight or the last load was too recent. */
  isBusy(backendServer: BackendServerId, now: Milliseconds): boolean;
  /** Returns the server as it will be once its last load has taken effect, because reports lag behind orders. */
  getProjectedServer(server: PlacedServer, now: Milliseconds): PlacedServer;
  /** Discards a load that had no effect; the server is then as reported. */
  discardLoad(backendServer: BackendServerId): void;
  /** Records why an order waits; true when the reason has changed. */
  recordWaitReason(backendServer: BackendServerId, reason: string): boolean;
  clear(): void;
}

/** Creates the tracker of the orders that this holder of the placement lease sends. */
export default function createEngineOrderTracker(policy: PlacementPolicy): EngineOrderTracker {
  const outstanding = new Map<BackendServerId, OutstandingOrder>();
  const loads = new Map<BackendServerId, OrderedLoad>();
  const waitReasons = new Map<BackendServerId, string>();

  return {
    recordSent(backendServer, order, now) {
      outstanding.set(backendServer, { order, sentAt: now });
      waitReasons.delete(backendServer);
      if (order.order === 'loadVersion') {
        loads.set(backendServer, { version: order.version, at: now });
      }
    },
    removeAnswered(backendServer) {
      const answered = outstanding.get(backendServer);
      outstanding.delete(backendServer);
      return answered?.order;
    },
    removeExpired(now) {
      const expired = [...outstanding]
        .filter(([, { sentAt }]) => now > sentAt + 2 * policy.maximumOrderTime)
        .map(([backendServer]) => backendServer);
      expired.forEach((backendServer) => outstanding.delete(backendServer));
      return expired;
    },
    isBusy(backendServer, now) {
      const last = loads.get(backendServer)?.at ?? Number.NEGATIVE_INFINITY;
      return outstanding.has(backendServer) || now < last + policy.minimumLoadInterval;
    },
    getProjectedServer(server, now) {
      const load = loads.get(server.backendServer);
      return load === undefined ||
        load.version === server.version ||
        now >= load.at + policy.minimumLoadInterval
        ? server
        : { ...server, version: load.version, ready: false };
    },
    discardLoad(backendServer) {
      loads.delete(backendServer);
    },
    recordWaitReason(backendServer, reason) {
      const isChanged = waitReasons.get(backendServer) !== reason;
      waitReasons.set(backendServer, reason);
      return isChanged;
    },
    clear() {
      outstanding.clear();
    },
  };
}
