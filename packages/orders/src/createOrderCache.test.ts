import { describe, it } from 'node:test';
import { expect } from 'earl';
import createOrderCache from './createOrderCache';
import toResult from './toResult';
import type { OrderEntry, OrderState } from './types';

function createEntry(name: string): OrderEntry {
  return {
    name,
    requestDigest: '',
    nonce: name,
    givenUpNonces: [],
    releasedNonces: [],
    state: { kind: 'dispatching' },
    result: Promise.resolve(toResult({ kind: 'mayHaveRun' })),
  };
}

/** Returns the state of an order whose answer has this many bytes. */
function createAnsweredState(bytes: number): OrderState {
  const answer = { status: 200, contentType: 'text/plain', body: 'x'.repeat(bytes) };
  return { kind: 'ended', outcome: { kind: 'answered', answer } };
}

describe(createOrderCache.name, () => {
  const cases = [
    {
      name: 'keeps orders within the limits',
      sizes: [1, 1],
      kept: ['0', '1'],
      hasForgotten: false,
    },
    {
      name: 'evicts the oldest above the limit of entries',
      sizes: [1, 1, 1, 1],
      kept: ['1', '2', '3'],
      hasForgotten: true,
    },
    {
      name: 'evicts the oldest above the limit of answer bytes',
      sizes: [60, 30, 50],
      kept: ['1', '2'],
      hasForgotten: true,
    },
    {
      name: 'keeps the last ended order however large it is',
      sizes: [10, 500],
      kept: ['1'],
      hasForgotten: true,
    },
  ];
  for (const { name, sizes, kept, hasForgotten } of cases) {
    it(name, () => {
      const cache = createOrderCache({ entries: 3, bytes: 100 });
      const running = createEntry('running');
      cache.add(running);
      sizes.forEach((size, index) => {
        const entry = createEntry(String(index));
        cache.add(entry);
        entry.state = createAnsweredState(size);
        cache.markEnded(entry);
      });
      const names = sizes.map((_, index) => String(index));
      expect(names.filter((each) => cache.tryGet(each) !== undefined)).toEqual(kept);
      expect(cache.hasForgotten()).toEqual(hasForgotten);
      expect(cache.tryGet('running')).toEqual(running);
    });
  }
});
