import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import {
  createModelStoreClient,
  createObjectStoreModel,
  runInVirtualTime,
} from '@rattanreel/stand-in-platform';
import createClaimSweeper from './createClaimSweeper';
import type { ClaimRecord, OrderOutcome } from './types';

const HOUR = 3_600_000;
const START = 100 * HOUR;
const ENDED: OrderOutcome = { kind: 'mayHaveRun' };

function createClaim(expiresAt: number, outcome: OrderOutcome | undefined): ClaimRecord {
  return {
    claimant: 'a',
    incarnation: 'a#1',
    nonce: 'n',
    requestDigest: 'd',
    outcome,
    expiresAt: new Date(expiresAt).toISOString(),
  };
}

describe(createClaimSweeper.name, () => {
  const cases = [
    { name: 'keeps a claim that has not expired', age: -HOUR, outcome: ENDED, isKept: true },
    { name: 'tolerates clock skew', age: HOUR / 2, outcome: ENDED, isKept: true },
    { name: 'removes an expired claim', age: 2 * HOUR, outcome: ENDED, isKept: false },
    {
      name: 'keeps a claim longer while its order may still run',
      age: 2 * HOUR,
      outcome: undefined,
      isKept: true,
    },
    {
      name: 'removes a claim without an outcome after the longer grace',
      age: 26 * HOUR,
      outcome: undefined,
      isKept: false,
    },
    {
      name: 'removes nothing while not active',
      age: 2 * HOUR,
      outcome: ENDED,
      isKept: true,
      isActive: false,
    },
  ];
  for (const { name, age, outcome, isKept, isActive = true } of cases) {
    it(name, async () => {
      const clock = createVirtualClock(START);
      const random = createRandom(1);
      const model = createObjectStoreModel({ clock, random });
      const store = createModelStoreClient({ model, clock, random });
      const finish = <Value>(work: Promise<Value>) => runInVirtualTime(clock, work);
      await finish(store.create('claim', 'ab12', createClaim(START - age, outcome)));
      const sweeper = createClaimSweeper({
        store,
        clock,
        random,
        isActive: () => isActive,
        prefixLength: 1,
      });
      await finish(sleep(clock, 60_000));
      sweeper.stop();
      const got = await finish(store.get('claim', 'ab12'));
      expect(got.kind).toEqual(isKept ? 'ok' : 'error');
    });
  }
});
