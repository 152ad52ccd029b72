import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createRandom } from '@rattanreel/core';
import { createIncarnation, createMembership } from '@rattanreel/membership';
import type { Membership, MembershipPeerMessage } from '@rattanreel/membership';
import createSettings from './createSettings';

const COPIES = 40;
const SIZE = { domains: 12, hostsPerDomain: 30, models: 37, engines: 600, customers: 1 };

/**
 * Returns the heap bytes of one entry host's membership at the target's size, with the capacities
 * of every pool.
 */
export default function measureMemberTable(): number {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  const memberships: Membership[] = [];
  createFullMembership();
  collect();
  const before = process.memoryUsage().heapUsed;
  for (let copy = 0; copy < COPIES; copy += 1) {
    memberships.push(createFullMembership());
  }
  collect();
  const after = process.memoryUsage().heapUsed;
  return Math.round((after - before) / memberships.length);
}

/**
 * Creates a membership that has received every member and capacity. It shares no objects with other
 * memberships.
 */
function createFullMembership(): Membership {
  const random = createRandom(1);
  const { entryHosts, failureDomains, pools } = structuredClone(createSettings(SIZE));
  const [first] = entryHosts;
  const { id, failureDomain, peerAddress } = first!;
  const incarnation = createIncarnation(1, random);
  const options = { entryHost: id, failureDomain, address: peerAddress, incarnation, entryHosts };
  const membership = createMembership({ ...options, startedAt: 0, random });
  const rooms = {
    pools: pools.map((pool) => pool.id),
    spareTokens: pools.map(() => random.integer(0, 400_000)),
    queuedTokens: pools.map(() => random.integer(0, 90_000)),
    drained: pools.map(() => false),
  };
  failureDomains.forEach((domain) => {
    const members = entryHosts
      .filter((host) => host.failureDomain === domain.id)
      .map((host) => ({
        entryHost: host.id,
        incarnation: createIncarnation(1, random),
        address: host.peerAddress,
        leaving: false,
      }));
    const from = members[0]!.entryHost;
    if (domain.id === failureDomain) {
      const rows = members.map((member) => ({ ...member, version: 0, dead: false, accusers: [] }));
      handlePeerMessage(membership, { kind: 'synced', from, rows: rows.slice(1) });
    } else {
      const status = { failureDomain: domain.id, age: 1, membersDigest: 1, generations: [] };
      const fromAddress = members[0]!.address;
      const summary = { from, fromAddress, status, rooms, passedOn: true };
      handlePeerMessage(membership, { kind: 'domainSummarised', ...summary });
      const sent = { from, failureDomain: domain.id, digest: 1, members };
      handlePeerMessage(membership, { kind: 'domainMembersSent', ...sent });
    }
  });
  membership.handle({ kind: 'timePassed' }, 1);
  return membership;
}

function handlePeerMessage(membership: Membership, message: MembershipPeerMessage): void {
  membership.handle({ kind: 'peerMessageReceived', message }, 1);
}
