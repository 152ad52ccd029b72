import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '@rattanreel/core';
import createAccount from '../testing/createAccount';
import type { ServerAccount } from '../types';
import chooseServer from './chooseServer';

interface Case {
  readonly name: string;
  readonly accounts: readonly ServerAccount[];
  readonly evacuated?: readonly string[];
  readonly avoid?: readonly string[];
  /** Servers at which the request cannot end within its deadline. */
  readonly tooSlow?: readonly string[];
  /** False in a large fleet. */
  readonly hearsAll?: boolean;
  readonly chosen: string | undefined;
}

const idle = createAccount({ id: 'idle' });
const full = { ...createAccount({ id: 'full' }), own: 1, others: 3 };
const overfull = { ...full, own: 2 };
const slow = { ...createAccount({ id: 'slow' }), slowness: 2 };
const remote = createAccount({ id: 'remote', failureDomain: 'far' });
const failing = { ...createAccount({ id: 'failing' }), failureShare: 0.5 };
const cases: readonly Case[] = [
  { name: 'none without servers', accounts: [], chosen: undefined },
  { name: 'none when all are full and one more', accounts: [overfull], chosen: undefined },
  { name: 'a full one for one request more', accounts: [full, overfull], chosen: 'full' },
  {
    name: 'no full one that turned such a request away',
    accounts: [{ ...full, extraPlaces: 0 }],
    chosen: undefined,
  },
  { name: 'the one with room', accounts: [full, idle], chosen: 'idle' },
  {
    name: 'none when those at which it can end are full',
    accounts: [overfull, idle],
    tooSlow: ['idle'],
    chosen: undefined,
  },
  {
    name: 'any when it can end nowhere',
    accounts: [idle],
    tooSlow: ['idle'],
    chosen: 'idle',
  },
  {
    name: 'a far one in a large fleet only with a place to spare',
    accounts: [{ ...remote, others: 3 }],
    hearsAll: false,
    chosen: undefined,
  },
  {
    name: 'a far one in a large fleet with two places free',
    accounts: [{ ...remote, others: 2 }],
    hearsAll: false,
    chosen: 'remote',
  },
  { name: 'the faster one', accounts: [slow, idle], chosen: 'idle' },
  { name: 'the near one', accounts: [remote, idle], chosen: 'idle' },
  { name: 'the one that answers', accounts: [failing, idle], chosen: 'idle' },
  {
    name: 'a remote one before a slow near one',
    accounts: [slow, remote],
    chosen: 'remote',
  },
  {
    name: 'none that is draining',
    accounts: [createAccount({ isDraining: true })],
    chosen: undefined,
  },
  {
    name: 'none of an evacuated failure domain',
    accounts: [idle, remote],
    evacuated: ['near'],
    chosen: 'remote',
  },
  { name: 'none that was tried', accounts: [idle, slow], avoid: ['idle'], chosen: 'slow' },
  {
    name: 'none that is avoided for a while',
    accounts: [{ ...idle, avoidedUntil: 101 }],
    chosen: undefined,
  },
  {
    name: 'a cold one only when its next request is due',
    accounts: [{ ...idle, coldUntil: 200, nextColdAt: 101 }],
    chosen: undefined,
  },
  {
    name: 'a cold one whose next request is due',
    accounts: [{ ...idle, coldUntil: 200, nextColdAt: 100 }],
    chosen: 'idle',
  },
];

describe('chooseServer', () => {
  cases.forEach(
    ({ name, accounts, evacuated = [], avoid = [], tooSlow = [], hearsAll, chosen }) => {
      it(`chooses ${name}`, () => {
        const server = chooseServer({
          accounts,
          now: 100,
          random: createRandom(7),
          ownDomain: 'near',
          evacuated: new Set(evacuated),
          avoid: new Set(avoid),
          hearsAll,
          endsInTime: ({ listed }) => !tooSlow.includes(listed.id),
        });
        expect(server?.listed.id).toEqual(chosen);
      });
    },
  );
});
