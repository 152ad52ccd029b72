import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createForwarderList from './createForwarderList';

describe('createForwarderList', () => {
  const peers = ['a', 'b', 'c'].map((entryHost) => ({
    entryHost,
    address: entryHost,
    failureDomain: 'domain',
    capacity: 1,
  }));
  const cases = [
    { name: 'one peer is late', late: ['a'], first: ['b', 'c'] },
    { name: 'all peers are late', late: ['a', 'b', 'c'], first: ['a', 'b', 'c'] },
  ];

  cases.forEach(({ name, late, first }) => {
    // Guards against attempts that wait for the event loop of a late peer while others are punctual.
    it(`asks punctual peers first, even after a late one has worked: ${name}`, () => {
      const forwarders = createForwarderList({
        clock: createVirtualClock(),
        random: createRandom(3),
        listPeers: () => peers,
        listLatePeers: () => new Set(late),
      });
      forwarders.recordWorking(peers[0]!);
      for (let draw = 0; draw < 50; draw += 1) {
        const chosen = forwarders.choose().map(({ entryHost }) => entryHost);
        expect(chosen.length).toEqual(3);
        expect(first.includes(chosen[0]!)).toEqual(true);
      }
    });
  });
});
