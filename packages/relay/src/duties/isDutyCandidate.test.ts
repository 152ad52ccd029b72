import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FleetRole, PeerAddress } from '../types';
import isDutyCandidate from './isDutyCandidate';

function createHosts(count: number, domains: number): readonly PeerAddress[] {
  return Array.from({ length: count }, (_, index) => ({
    entryHost: `host-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: `domain-${index % domains}`,
    capacity: 1,
  }));
}

function createRole(role: Partial<FleetRole>): FleetRole {
  return {
    isLarge: false,
    isGranting: true,
    isStoreSubstitute: false,
    ownHosts: 1,
    fleetHosts: 1,
    ...role,
  };
}

/** Guards against store calls that grow with the number of hosts. */
describe(isDutyCandidate.name, () => {
  [
    { name: 'two hosts of each domain', hosts: 12, domains: 3, role: {}, expected: 6 },
    { name: 'two of a hundred', hosts: 100, domains: 1, role: { isLarge: true }, expected: 2 },
    {
      name: 'no host of a large fleet that grants no slots',
      hosts: 100,
      domains: 4,
      role: { isLarge: true, isGranting: false },
      expected: 0,
    },
    { name: 'a host alone', hosts: 1, domains: 1, role: {}, expected: 1 },
  ].forEach(({ name, hosts, domains, role, expected }) => {
    it(`chooses ${name}`, () => {
      const all = createHosts(hosts, domains);
      const candidates = all.filter((self) =>
        isDutyCandidate({
          self,
          peers: all.filter((peer) => peer !== self),
          role: createRole(role),
        }),
      );
      expect(candidates.length).toEqual(expected);
    });
  });
});
