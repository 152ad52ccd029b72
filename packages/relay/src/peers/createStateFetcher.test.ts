import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock, ok } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import type { ClusterStateVersions } from '../types';
import createStateFetcher from './createStateFetcher';

function createVersions(serversVersion: number): ClusterStateVersions {
  return { configurationVersion: 1, serversVersion, evacuatedVersion: 0, rosterVersion: 0 };
}

interface Case {
  readonly name: string;
  readonly isWatchingStore: boolean;
  /** Versions of the server list in the peer's messages, one every 200 ms. */
  readonly receivedVersions: readonly number[];
  readonly expectedQueries: number;
}

const cases: readonly Case[] = [
  {
    name: 'not while versions are equal',
    isWatchingStore: true,
    receivedVersions: [5, 5, 5, 5],
    expectedQueries: 0,
  },
  {
    name: 'not at once, since its own watch may deliver the change',
    isWatchingStore: true,
    receivedVersions: [6],
    expectedQueries: 0,
  },
  {
    name: 'once it stays behind, although its own store seems reachable',
    isWatchingStore: true,
    receivedVersions: [6, 6, 6],
    expectedQueries: 1,
  },
  {
    name: 'at once without a watch of its own',
    isWatchingStore: false,
    receivedVersions: [6],
    expectedQueries: 1,
  },
];

describe('createStateFetcher', () => {
  cases.forEach(({ name, isWatchingStore, receivedVersions, expectedQueries }) => {
    it(`fetches the cluster state of a peer: ${name}`, () => {
      const clock = createVirtualClock();
      const queries: string[] = [];
      let versions = createVersions(5);
      const fetcher = createStateFetcher({
        clock,
        logger: silentLogger,
        transport: {
          async ask(address) {
            queries.push(address);
            versions = createVersions(6);
            return ok({
              ...versions,
              configuration: undefined,
              servers: [],
              evacuated: undefined,
              peers: undefined,
            });
          },
        },
        getVersions: () => versions,
        onClusterState: () => undefined,
        isWatchingStore: () => isWatchingStore,
        isGranting: () => true,
      });
      receivedVersions.forEach((version) => {
        const peer = { entryHost: 'other', address: '10.0.0.2:1', ...createVersions(version) };
        fetcher.handleVersions(peer);
        clock.advance(200);
      });
      expect(queries.length).toEqual(expectedQueries);
    });
  });
});
