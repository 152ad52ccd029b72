import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PeerAddress } from '../types';
import chooseSummaryRecipients from './chooseSummaryRecipients';
import isStoreWatcher from './isStoreWatcher';

function createPeers(count: number): readonly PeerAddress[] {
  return Array.from({ length: count }, (_, index) => ({
    entryHost: `host-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: `domain-${index % 4}`,
  }));
}

const largeFleet = createPeers(88);

function countWatchers(dead: ReadonlySet<string>): number {
  return largeFleet.filter(({ entryHost, failureDomain }) => {
    const peers = largeFleet.filter((peer) => peer.entryHost !== entryHost);
    const reachablePeers = peers.filter((peer) => !dead.has(peer.entryHost));
    const input = { ownName: entryHost, ownDomain: failureDomain, peers, reachablePeers };
    return !dead.has(entryHost) && isStoreWatcher({ ...input, hasClusterState: true, age: 10_000 });
  }).length;
}

describe('isStoreWatcher', () => {
  const withoutPeers = {
    ownName: 'self',
    ownDomain: 'domain-0',
    reachablePeers: [],
    hasClusterState: true,
  };

  it('lets two hosts of each failure domain of a large fleet watch the store', () => {
    expect(countWatchers(new Set())).toEqual(8);
  });

  it('replaces watchers that are unreachable', () => {
    expect(countWatchers(new Set(['host-0', 'host-4', 'host-8', 'host-12']))).toEqual(8);
  });

  it('lets every host of a small fleet watch the store', () => {
    expect(isStoreWatcher({ ...withoutPeers, peers: createPeers(5), age: 0 })).toEqual(true);
  });

  it('lets a host without reachable peers watch the store', () => {
    expect(isStoreWatcher({ ...withoutPeers, peers: largeFleet, age: 10_000 })).toEqual(true);
  });

  it('lets a host that receives no state watch the store after a timeout', () => {
    const withoutState = {
      ...withoutPeers,
      reachablePeers: largeFleet,
      hasClusterState: false,
      peers: undefined,
    };
    expect(isStoreWatcher({ ...withoutState, age: 1_000 })).toEqual(false);
    expect(isStoreWatcher({ ...withoutState, age: 3_001 })).toEqual(true);
  });
});

describe('chooseSummaryRecipients', () => {
  it('chooses all hosts of a small fleet, those of its own failure domain in a large one', () => {
    expect(chooseSummaryRecipients(createPeers(8), 'domain-0').length).toEqual(8);
    expect(chooseSummaryRecipients(largeFleet, 'domain-0').length).toEqual(22);
  });
});
