import { describe, it } from 'node:test';
import { expect } from 'earl';
import playServiceBesideModels from '../testing/playServiceBesideModels';

/** Stated target: nothing is refused, and 0.95 of the responses are within the objective. */
const MINIMUM_IN_TIME = 0.95;
const HOSTS = 63;
const MODEL_SERVERS = 12;

describe('a service of four servers at 90 % of its capacity, beside models in overload', () => {
  // Fails when requests are refused by a share of the slots, or left to requests at other hosts.
  it('refuses nothing from 63 hosts', async () => {
    const { refused, inTime } = await playServiceBesideModels({
      hosts: HOSTS,
      seed: 3,
      modelServers: MODEL_SERVERS,
    });
    expect(refused).toEqual(0);
    expect(inTime).toBeGreaterThanOrEqual(MINIMUM_IN_TIME);
  });

  const fullServers = {
    hosts: HOSTS,
    seed: 3,
    modelServers: MODEL_SERVERS,
    serviceRoom: 1,
    retryAfter: 1_000,
  };

  // Fails when a server that turned one request away is avoided for longer than it stays full: then
  // up to half a second of a quarter of the capacity is lost each time.
  it('keeps the objective if full servers turn requests away', async () => {
    const { inTime } = await playServiceBesideModels(fullServers);
    expect(inTime).toBeGreaterThanOrEqual(MINIMUM_IN_TIME);
  });

  it(
    'refuses nothing if full servers turn requests away',
    { todo: 'listed in KNOWN-RED.txt, issue 32' },
    async () => {
      const { refused } = await playServiceBesideModels(fullServers);
      expect(refused).toEqual(0);
    },
  );
});
