import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FleetRole, PeerAddress } from '../types';
import chooseSummaryRecipients from './chooseSummaryRecipients';

function createPeers(count: number): readonly PeerAddress[] {
  return Array.from({ length: count }, (_, index) => ({
    entryHost: `host-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: `domain-${index % 4}`,
    capacity: 1,
  }));
}

const role: FleetRole = {
  isLarge: true,
  isGranting: true,
  isStoreSubstitute: false,
  ownHosts: 22,
  fleetHosts: 88,
};
const peers = createPeers(40);
const candidates = peers.slice(0, 8);
const reachable = [peers[0]!, peers[20]!];

describe('chooseSummaryRecipients', () => {
  it('chooses all hosts of a small fleet', () => {
    const options = { role: { ...role, isLarge: false }, peers, candidates, reachable };
    expect(chooseSummaryRecipients(options)).toEqual({ direct: peers, standby: [] });
  });

  it('chooses none for a host of a large fleet that schedules nothing', () => {
    const options = { role: { ...role, isGranting: false }, peers, candidates, reachable };
    expect(chooseSummaryRecipients(options)).toEqual({ direct: [], standby: [] });
  });

  it('chooses the schedulers that are heard, and the other candidates for summaries', () => {
    const options = { role, peers, candidates, reachable };
    const standby = candidates.slice(1);
    expect(chooseSummaryRecipients(options)).toEqual({ direct: reachable, standby });
  });
});
