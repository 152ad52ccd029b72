import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock, ok } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import type { ClusterState, HostSummary } from '../types';
import createPeerSync from './createPeerSync';

function createClusterState(serversVersion: number): ClusterState {
  return {
    configuration: undefined,
    servers: [],
    serversVersion,
    evacuated: [],
    evacuatedVersion: 0,
    peers: [],
  };
}

function createSummary(serversVersion: number): HostSummary {
  return {
    kind: 'summary',
    entryHost: 'other',
    incarnation: 'one',
    failureDomain: 'near',
    address: '10.0.0.2:1',
    inFlight: {},
    tiers: {},
    waiting: {},
    spent: {},
    configurationVersion: -1,
    serversVersion,
    evacuatedVersion: 0,
  };
}

interface Case {
  readonly name: string;
  /** Versions of the server list in the peer's summaries, one every 200 ms. */
  readonly receivedVersions: readonly number[];
  readonly expectedQueries: number;
}

const cases: readonly Case[] = [
  { name: 'not while versions are equal', receivedVersions: [5, 5, 5, 5], expectedQueries: 0 },
  {
    name: 'not at once, since its own watch may deliver the change',
    receivedVersions: [6],
    expectedQueries: 0,
  },
  {
    name: 'once it stays behind, although its own store seems reachable',
    receivedVersions: [6, 6, 6],
    expectedQueries: 1,
  },
];

describe('createPeerSync', () => {
  cases.forEach(({ name, receivedVersions, expectedQueries }) => {
    it(`fetches the cluster state of a peer: ${name}`, () => {
      const clock = createVirtualClock();
      const queries: string[] = [];
      let state = createClusterState(5);
      const peerSync = createPeerSync({
        clock,
        logger: silentLogger,
        transport: {
          address: '10.0.0.1:1',
          send: () => undefined,
          async ask(address) {
            queries.push(address);
            state = createClusterState(6);
            return ok(state);
          },
          traffic: () => ({ messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 }),
          close: async () => undefined,
        },
        getSummary: () => createSummary(5),
        getVersions: () => ({ ...state, configurationVersion: -1 }),
        onClusterState: () => undefined,
      });
      receivedVersions.forEach((version) => {
        peerSync.handleSummary(createSummary(version));
        clock.advance(200);
      });
      peerSync.stop();
      expect(queries.length).toEqual(expectedQueries);
    });
  });
});
