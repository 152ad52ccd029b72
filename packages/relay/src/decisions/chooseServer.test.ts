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
  /** Servers that cannot meet the request's deadline. */
  readonly tooSlow?: readonly string[];
  /** Servers that asked this host to send nothing. */
  readonly embargoed?: readonly string[];
  /** Slowdowns to expect of servers. */
  readonly slowdowns?: Readonly<Record<string, number>>;
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
  {
    name: 'none when all hold one request more than their slots',
    servers: [overfull],
    chosen: undefined,
  },
  { name: 'a full one for one extra request', servers: [full, overfull], chosen: 'full' },
  {
    name: 'no full one that refused an extra request',
    servers: [{ ...full, extraSlots: 0 }],
    chosen: undefined,
  },
  { name: 'the one with a free slot', servers: [full, idle], chosen: 'idle' },
  {
    name: 'none when all that can meet the deadline are full',
    servers: [overfull, idle],
    tooSlow: ['idle'],
    chosen: undefined,
  },
  {
    name: 'any when none can meet the deadline',
    servers: [idle],
    tooSlow: ['idle'],
    chosen: 'idle',
  },
  {
    name: 'none that announced that it is leaving',
    servers: [{ ...idle, isLeaving: true }],
    chosen: undefined,
  },
  {
    name: 'none that asked this host to send nothing',
    servers: [idle, slow],
    embargoed: ['idle'],
    chosen: 'slow',
  },
  { name: 'the faster one', servers: [slow, idle], chosen: 'idle' },
  {
    name: 'the one that is slower in general but not slowed down now',
    servers: [slow, idle],
    slowdowns: { idle: 4 },
    chosen: 'slow',
  },
  {
    name: 'one that is slowed down when no other has a free slot',
    servers: [idle, overfull],
    slowdowns: { idle: 4 },
    chosen: 'idle',
  },
  { name: 'the same-domain one', servers: [remote, idle], chosen: 'idle' },
  { name: 'the one that does not fail', servers: [failing, idle], chosen: 'idle' },
  {
    name: 'a remote one before a slow same-domain one',
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
  {
    name: 'none that was tried already',
    servers: [idle, slow],
    excludedServers: ['idle'],
    chosen: 'slow',
  },
  {
    name: 'none in backoff',
    servers: [{ ...idle, backoffUntil: 101 }],
    chosen: undefined,
  },
  {
    name: 'no cold one before its next request is due',
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
      embargoed = [],
      slowdowns = {},
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
          embargo: { isEmbargoed: ({ id }) => embargoed.includes(id) },
          getSlowdown: ({ listed }) => slowdowns[listed.id] ?? 1,
          canMeetDeadline: ({ listed }) => !tooSlow.includes(listed.id),
        });
        expect(server?.listed.id).toEqual(chosen);
      });
    },
  );
});
