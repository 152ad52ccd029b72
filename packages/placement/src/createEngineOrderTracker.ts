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

/** The orders on their way, and what keeps servers from getting another. */
interface EngineOrderTracker {
  recordSent(backendServer: BackendServerId, order: EngineOrder, now: Milliseconds): void;
  /** Takes an answered order off; undefined when it was not on its way. */
  removeAnswered(backendServer: BackendServerId): EngineOrder | undefined;
  /** Takes off the orders that cannot be answered any more. */
  removeExpired(now: Milliseconds): readonly BackendServerId[];
  /** Whether an order is on its way or the last load was too short a time ago. */
  isBusy(backendServer: BackendServerId, now: Milliseconds): boolean;
  /** The server as it will be when its last order has been followed; reports lag behind orders. */
  getProjectedServer(server: PlacedServer, now: Milliseconds): PlacedServer;
  /** The order had no effect: the server stays as reported. */
  discardLoad(backendServer: BackendServerId): void;
  /** Notes why an order waits; true when that is news. */
  recordWaitReason(backendServer: BackendServerId, reason: string): boolean;
  clear(): void;
}

/** Keeps the orders of one holder of the placement lease. */
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
