import { describe, it } from 'node:test';
import { expect } from 'earl';
import playRecovery from '../testing/playRecovery';

const LOOKUP = { target: '/lookup/', customer: 'customer-a' };
const ORDER = { target: '/order/', customer: 'customer-a' };
const SLOW = { kind: 'slowEngines', slowdown: 42, lasting: 8_000 } as const;
const PAUSED = { kind: 'pausedHosts', lasting: 4_000 } as const;

describe('estimates that refuse work', () => {
  const cases = [
    { name: 'slow engines, one host', hosts: 1, disturbance: SLOW, calls: [ORDER, LOOKUP] },
    {
      name: 'slow engines, three hosts',
      hosts: 3,
      disturbance: SLOW,
      calls: [ORDER, LOOKUP],
    },
    { name: 'slow engines, orders alone', hosts: 1, disturbance: SLOW, calls: [ORDER] },
    { name: 'slow engines, reads alone', hosts: 1, disturbance: SLOW, calls: [LOOKUP] },
    {
      name: 'engines too slow for the deadline',
      hosts: 1,
      disturbance: { ...SLOW, slowdown: 90 },
      calls: [ORDER],
    },
    { name: 'a paused host', hosts: 1, disturbance: PAUSED, calls: [LOOKUP] },
    { name: 'three paused hosts', hosts: 3, disturbance: PAUSED, calls: [LOOKUP] },
    {
      name: 'bodies that arrive slowly at an idle host',
      hosts: 1,
      disturbance: { kind: 'none' },
      calls: [{ ...LOOKUP, bodyTime: 1_500 }],
      deadline: 15_000,
    },
  ] as const;
  cases.forEach((options) => {
    const { name } = options;
    // Guards against hosts that refuse all work for ever, since only responses moved the estimate.
    it(`recover once the reason has passed: ${name}`, async () => {
      const served = await playRecovery({ ...options, seed: 3 });
      served.forEach((share) => expect(share).toBeGreaterThan(0.95));
    });
  });
});
