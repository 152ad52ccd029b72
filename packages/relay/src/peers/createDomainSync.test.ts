import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import createDomainSync from './createDomainSync';

interface Case {
  readonly name: string;
  readonly domains: number;
  readonly hostsOfADomain: number;
  /** Bounds on the messages of all hosts together in one second. */
  readonly most: number;
  readonly least: number;
}

// Two reporters per domain, three receivers in each other domain and four reports per second, or
// five if both ends of the second are included.
const cases: readonly Case[] = [
  { name: 'nothing in a small fleet', domains: 3, hostsOfADomain: 3, most: 0, least: 0 },
  {
    name: 'few messages in a fleet of 88',
    domains: 4,
    hostsOfADomain: 22,
    most: 360,
    least: 288,
  },
  {
    name: 'as many per pair of domains in a fleet of 360',
    domains: 12,
    hostsOfADomain: 30,
    most: 3_960,
    least: 3_168,
  },
];

function listHosts({ domains, hostsOfADomain }: Case): readonly PeerAddress[] {
  return Array.from({ length: domains * hostsOfADomain }, (_, index) => ({
    entryHost: `host-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: `domain-${index % domains}`,
  }));
}

describe('createDomainSync', () => {
  cases.forEach((testCase) => {
    it(`sends to other failure domains: ${testCase.name}`, () => {
      const hosts = listHosts(testCase);
      let sent = 0;
      hosts.forEach((self) => {
        const clock = createVirtualClock();
        const exchange = createDomainSync({
          clock,
          transport: {
            send() {
              sent += 1;
            },
          },
          quota: {
            recordDomainSpending: () => undefined,
            getReachableSpent: () => ({ hosts: 1, spent: {} }),
          },
          countDomainInFlight: () => new Map(),
          self: { ...self, incarnation: 'one' },
          listSameDomainHosts: () =>
            hosts
              .filter((host) => host.failureDomain === self.failureDomain && host !== self)
              .map(({ entryHost }) => entryHost),
        });
        exchange.setPeers(hosts.filter((host) => host !== self));
        clock.advance(1_000);
        exchange.stop();
      });
      expect(sent).toBeLessThanOrEqual(testCase.most);
      expect(sent).toBeGreaterThanOrEqual(testCase.least);
    });
  });

  it('relays a report only while it is fresh', () => {
    const clock = createVirtualClock();
    const heard: string[] = [];
    const exchange = createDomainSync({
      clock,
      transport: { send: () => undefined },
      quota: {
        recordDomainSpending: ({ failureDomain }) => heard.push(failureDomain),
        getReachableSpent: () => ({ hosts: 1, spent: {} }),
      },
      countDomainInFlight: () => new Map(),
      self: { entryHost: 'host-0', incarnation: 'one', failureDomain: 'near' },
      listSameDomainHosts: () => [],
    });
    exchange.receive(
      {
        kind: 'domain',
        entryHost: 'host-9',
        incarnation: 'one',
        failureDomain: 'far',
        hosts: 3,
        spent: { customer: 5 },
        inFlight: { server: 4 },
      },
      'sent',
    );
    expect(heard).toEqual(['far']);
    expect(exchange.listReportsToRelay().length).toEqual(1);
    expect([...exchange.countRemoteInFlight()]).toEqual([['server', 4]]);
    clock.advance(600);
    expect(exchange.listReportsToRelay().length).toEqual(0);
    exchange.stop();
  });
});
