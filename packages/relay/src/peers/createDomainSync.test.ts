import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import createDomainSync from './createDomainSync';

interface Case {
  readonly name: string;
  readonly domains: number;
  readonly hostsPerDomain: number;
  /** Bounds on the messages of all hosts together in one second. */
  readonly maximumMessages: number;
  readonly minimumMessages: number;
}

// Two reporters per domain, three receivers in each other domain and four reports per second, or
// five if both ends of the second are included.
const cases: readonly Case[] = [
  {
    name: 'nothing in a small fleet',
    domains: 3,
    hostsPerDomain: 3,
    maximumMessages: 0,
    minimumMessages: 0,
  },
  {
    name: 'few messages in a fleet of 88',
    domains: 4,
    hostsPerDomain: 22,
    maximumMessages: 360,
    minimumMessages: 288,
  },
  {
    name: 'as many per pair of domains in a fleet of 360',
    domains: 12,
    hostsPerDomain: 30,
    maximumMessages: 3_960,
    minimumMessages: 3_168,
  },
];

function listHosts({ domains, hostsPerDomain }: Case): readonly PeerAddress[] {
  return Array.from({ length: domains * hostsPerDomain }, (_, index) => ({
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
        const domainSync = createDomainSync({
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
        domainSync.setPeers(hosts.filter((host) => host !== self));
        clock.advance(1_000);
        domainSync.stop();
      });
      expect(sent).toBeLessThanOrEqual(testCase.maximumMessages);
      expect(sent).toBeGreaterThanOrEqual(testCase.minimumMessages);
    });
  });

  it('relays a report only while it is fresh', () => {
    const clock = createVirtualClock();
    const recordedDomains: string[] = [];
    const domainSync = createDomainSync({
      clock,
      transport: { send: () => undefined },
      quota: {
        recordDomainSpending: ({ failureDomain }) => recordedDomains.push(failureDomain),
        getReachableSpent: () => ({ hosts: 1, spent: {} }),
      },
      countDomainInFlight: () => new Map(),
      self: { entryHost: 'host-0', incarnation: 'one', failureDomain: 'near' },
      listSameDomainHosts: () => [],
    });
    domainSync.handleReport(
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
    expect(recordedDomains).toEqual(['far']);
    expect(domainSync.listReportsToRelay().length).toEqual(1);
    expect([...domainSync.countRemoteInFlight()]).toEqual([['server', 4]]);
    clock.advance(600);
    expect(domainSync.listReportsToRelay().length).toEqual(0);
    domainSync.stop();
  });
});
