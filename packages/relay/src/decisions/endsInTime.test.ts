import { describe, it } from 'node:test';
import { expect } from 'earl';
import endsInTime from './endsInTime';

interface Case {
  readonly name: string;
  readonly outputTokens: number;
  readonly slowness: number;
  readonly tokenTime: number;
  readonly ends: boolean;
}

// 100 ms to the first data, 8 ms a token at the average server, 5 s left.
const cases: readonly Case[] = [
  { name: 'a short answer anywhere', outputTokens: 50, slowness: 4, tokenTime: 8, ends: true },
  {
    name: 'a long one at a fast server',
    outputTokens: 900,
    slowness: 0.6,
    tokenTime: 8,
    ends: true,
  },
  { name: 'not at a slow one', outputTokens: 900, slowness: 1.7, tokenTime: 8, ends: false },
  {
    name: 'any while no pace is known',
    outputTokens: 9_000,
    slowness: 1,
    tokenTime: 0,
    ends: true,
  },
];

describe('endsInTime', () => {
  cases.forEach(({ name, outputTokens, slowness, tokenTime, ends }) => {
    it(`expects ${name}`, () => {
      const options = { outputTokens, slowness, tokenTime, firstData: 100, timeLeft: 5_000 };
      expect(endsInTime(options)).toEqual(ends);
    });
  });
});
