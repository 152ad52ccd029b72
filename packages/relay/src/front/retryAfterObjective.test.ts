import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';

const START_TIME = 4_000;
const REQUESTS = 12;
/** Beyond the objective of 400 ms; with the slow engines every request is still in flight. */
const FAILURE_TIME = 700;
const SLOW = { failShare: 0, slowShare: 1, slowness: 12 };
const USUAL = { failShare: 0, slowShare: 0, slowness: 1 };

interface RetryCase {
  readonly name: string;
  readonly target: string;
  readonly hosts: number;
  readonly domains: number;
}

/** Sends requests whose first attempts all break after their objective; returns those completed. */
async function countComplete({ target, hosts, domains }: RetryCase): Promise<number> {
  const fleet = await createTestFleet({ hosts, domains, serversPerDomain: 6 / domains });
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  engines.engines.forEach((engine) => engine.setBehaviour(SLOW));
  for (let index = 0; index < REQUESTS; index += 1) {
    callers.send({ target, customer: 'customer-a' });
  }
  await fleet.advance(FAILURE_TIME);
  engines.engines.forEach((engine) => engine.setBehaviour(USUAL));
  engines.resetConnections();
  await fleet.advance(3_000);
  return callers.requests.filter(({ isFirst, isComplete }) => isFirst && isComplete === true)
    .length;
}

describe('a retry after the objective', () => {
  const cases: readonly RetryCase[] = [
    { name: 'lookup', target: '/lookup/', hosts: 3, domains: 1 },
    { name: 'stream that may be resumed', target: '/', hosts: 3, domains: 1 },
    { name: 'lookup under schedulers', target: '/lookup/', hosts: 16, domains: 2 },
  ];
  for (const retryCase of cases) {
    it(`is served by another server rather than failed as late: ${retryCase.name}`, async () => {
      expect(await countComplete(retryCase)).toEqual(REQUESTS);
    });
  }
});
