import { describe, it } from 'node:test';
import { expect } from 'earl';
import type createTestEngines from '../testing/createTestEngines';
import type createTestFleet from '../testing/createTestFleet';
import playHotCustomer from '../testing/playHotCustomer';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngines = ReturnType<typeof createTestEngines>;

const MINIMUM_USUAL_IN_TIME = 0.95;
const MINIMUM_HOT_SERVED = 0.45;
const PARTITION_TIME = 6_000;

interface HotCustomerCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  /** Whether each customer's connections all lead to one host. */
  readonly isSticky?: boolean;
  readonly disturb?: (fleet: TestFleet, engines: TestEngines) => Promise<void>;
}

const SMALL = { hosts: 3, domains: 3, serversPerDomain: 4 };
const LARGE = { hosts: 16, domains: 4, serversPerDomain: 4 };

async function killHost(fleet: TestFleet): Promise<void> {
  await fleet.advance(5_000);
  fleet.hosts[0]!.isDown = true;
}

async function partitionDomain(fleet: TestFleet, engines: TestEngines): Promise<void> {
  const domain = 'domain-1';
  await fleet.advance(5_000);
  engines.partition(domain);
  fleet.setReachable((from, to) => (from.domain === domain) === (to.domain === domain));
  await fleet.advance(PARTITION_TIME);
  engines.partition(undefined);
  fleet.setReachable(() => true);
}

const cases: readonly HotCustomerCase[] = [
  { ...SMALL, name: '3 hosts' },
  { ...LARGE, name: '16 hosts' },
  { ...SMALL, name: '3 hosts, one for each customer', isSticky: true },
  { ...LARGE, name: '16 hosts, one for each customer', isSticky: true },
  { ...SMALL, name: '3 hosts, one is killed', disturb: killHost },
  { ...LARGE, name: '16 hosts, a scheduler is killed', disturb: killHost },
  { ...SMALL, name: '3 hosts, a domain is partitioned off', disturb: partitionDomain },
  { ...LARGE, name: '16 hosts, a domain is partitioned off', disturb: partitionDomain },
];

describe('a customer that asks for ten times its usual', () => {
  cases.forEach((hotCase) => {
    // Guards against one customer's excess being refused to the others.
    it(`does not displace the five others: ${hotCase.name}`, async () => {
      const { usual, hot } = await playHotCustomer({ ...hotCase, seed: 5 });
      usual.forEach(({ inTime }) => expect(inTime).toBeGreaterThanOrEqual(MINIMUM_USUAL_IN_TIME));
      expect(hot.served).toBeGreaterThanOrEqual(MINIMUM_HOT_SERVED);
    });
  });
});
