import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestDuties from '../testing/createTestDuties';

const POOL = {
  name: 'pool',
  maximumConnections: 100,
  coldTime: 0,
  coldRate: 0,
  memoryTokens: undefined,
  autoscale: { minimum: 2, maximum: 4, bootTime: 8_000 },
};

describe('orders of servers by a fleet', () => {
  [
    { hosts: 3, domains: 3 },
    { hosts: 16, domains: 4 },
  ].forEach((size) => {
    it(`are made once for each domain, also by a new holder: ${size.hosts} hosts`, async () => {
      const duties = await createTestDuties({
        ...size,
        settings: { duties: ['usage', 'scale'] },
        configuration: { pools: [POOL] },
      });
      const listOrders = (): readonly string[] =>
        duties.platform.arrived.flatMap(({ call }) =>
          call.kind === 'scale' ? [`${call.failureDomain} ${call.desired}`] : [],
        );
      const expected = Array.from({ length: size.domains }, (_, index) => `domain-${index} 2`);
      await duties.advance(25_000);
      expect([...listOrders()].sort()).toEqual(expected);
      // A new holder cannot read what was ordered, and the stand-in starts no servers.
      duties.listHolders().forEach((host) => Object.assign(host, { isDown: true }));
      await duties.advance(20_000);
      expect([...listOrders()].sort()).toEqual([...expected, ...expected].sort());
      expect(duties.platform.violations).toEqual([]);
    });
  });
});
