import { describe, it } from 'node:test';
import { expect } from 'earl';
import createOrderMemory from './createOrderMemory';
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

/** An end whose answer has so many bytes. */
function answered(bytes: number): OrderState {
  const answer = { status: 200, contentType: 'text/plain', body: 'x'.repeat(bytes) };
  return { kind: 'ended', outcome: { kind: 'answered', answer } };
}

describe(createOrderMemory.name, () => {
  const cases = [
    { name: 'keeps what fits', sizes: [1, 1], kept: ['0', '1'], hasForgotten: false },
    {
      name: 'forgets the oldest above the number of entries',
      sizes: [1, 1, 1, 1],
      kept: ['1', '2', '3'],
      hasForgotten: true,
    },
    {
      name: 'forgets the oldest above the bytes of answers',
      sizes: [60, 30, 50],
      kept: ['1', '2'],
      hasForgotten: true,
    },
    {
      name: 'keeps the last one however large it is',
      sizes: [10, 500],
      kept: ['1'],
      hasForgotten: true,
    },
  ];
  for (const { name, sizes, kept, hasForgotten } of cases) {
    it(name, () => {
      const memory = createOrderMemory({ entries: 3, bytes: 100 });
      const running = createEntry('running');
      memory.add(running);
      sizes.forEach((size, index) => {
        const entry = createEntry(String(index));
        memory.add(entry);
        entry.state = answered(size);
        memory.noteEnded(entry);
      });
      const names = sizes.map((_, index) => String(index));
      expect(names.filter((each) => memory.tryGet(each) !== undefined)).toEqual(kept);
      expect(memory.hasForgotten()).toEqual(hasForgotten);
      expect(memory.tryGet('running')).toEqual(running);
    });
  }
});
