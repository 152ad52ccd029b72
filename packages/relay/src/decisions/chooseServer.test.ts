import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '@rattanreel/core';
import createTestServer from '../testing/createTestServer';
import type { ServerState } from '../types';
import chooseServer from './chooseServer';

interface Case {
  readonly name: string;
  readonly servers: readonly ServerState[];
  readonly evacuated?: readonly string[];
  readonly excludedServers?: readonly string[];
  /** Servers at which the request cannot end within its deadline. */
  readonly tooSlow?: readonly string[];
  /** False in a large fleet. */
  readonly hasFullPeerView?: boolean;
  readonly chosen: string | undefined;
}

const idle = createTestServer({ id: 'idle' });
const full = { ...createTestServer({ id: 'full' }), ownInFlight: 1, peerInFlight: 3 };
const overfull = { ...full, ownInFlight: 2 };
const slow = { ...createTestServer({ id: 'slow' }), slowness: 2 };
const remote = createTestServer({ id: 'remote', failureDomain: 'far' });
const failing = { ...createTestServer({ id: 'failing' }), failureRate: 0.5 };
const cases: readonly Case[] = [
  { name: 'none without servers', servers: [], chosen: undefined },
  { name: 'none when all are full and one more', servers: [overfull], chosen: undefined },
  { name: 'a full one for one request more', servers: [full, overfull], chosen: 'full' },
  {
    name: 'no full one that turned such a request away',
    servers: [{ ...full, extraSlots: 0 }],
    chosen: undefined,
  },
  { name: 'the one with room', servers: [full, idle], chosen: 'idle' },
  {
    name: 'none when those at which it can end are full',
    servers: [overfull, idle],
    tooSlow: ['idle'],
    chosen: undefined,
  },
  {
    name: 'any when it can end nowhere',
    servers: [idle],
    tooSlow: ['idle'],
    chosen: 'idle',
  },
  {
    name: 'a far one in a large fleet only with a place to spare',
    servers: [{ ...remote, peerInFlight: 3 }],
    hasFullPeerView: false,
    chosen: undefined,
  },
  {
    name: 'a far one in a large fleet with two places free',
    servers: [{ ...remote, peerInFlight: 2 }],
    hasFullPeerView: false,
    chosen: 'remote',
  },
  { name: 'the faster one', servers: [slow, idle], chosen: 'idle' },
  { name: 'the near one', servers: [remote, idle], chosen: 'idle' },
  { name: 'the one that answers', servers: [failing, idle], chosen: 'idle' },
  {
    name: 'a remote one before a slow near one',
    servers: [slow, remote],
    chosen: 'remote',
  },
  {
    name: 'none that is draining',
    servers: [createTestServer({ isDraining: true })],
    chosen: undefined,
  },
  {
    name: 'none of an evacuated failure domain',
    servers: [idle, remote],
    evacuated: ['near'],
    chosen: 'remote',
  },
  { name: 'none that was tried', servers: [idle, slow], excludedServers: ['idle'], chosen: 'slow' },
  {
    name: 'none that is avoided for a while',
    servers: [{ ...idle, backoffUntil: 101 }],
    chosen: undefined,
  },
  {
    name: 'a cold one only when its next request is due',
    servers: [{ ...idle, coldUntil: 200, nextColdRequestAt: 101 }],
    chosen: undefined,
  },
  {
    name: 'a cold one whose next request is due',
    servers: [{ ...idle, coldUntil: 200, nextColdRequestAt: 100 }],
    chosen: 'idle',
  },
];

describe('chooseServer', () => {
  cases.forEach(
    ({
      name,
      servers,
      evacuated = [],
      excludedServers = [],
      tooSlow = [],
      hasFullPeerView,
      chosen,
    }) => {
      it(`chooses ${name}`, () => {
        const server = chooseServer({
          servers,
          now: 100,
          random: createRandom(7),
          ownDomain: 'near',
          evacuated: new Set(evacuated),
          excludedServers: new Set(excludedServers),
          hasFullPeerView,
          canMeetDeadline: ({ listed }) => !tooSlow.includes(listed.id),
        });
        expect(server?.listed.id).toEqual(chosen);
      });
    },
  );
});
