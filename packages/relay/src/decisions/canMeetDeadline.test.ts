import { describe, it } from 'node:test';
import { expect } from 'earl';
import canMeetDeadline from './canMeetDeadline';

interface Case {
  readonly name: string;
  readonly outputTokens: number;
  readonly slowness: number;
  readonly timePerToken: number;
  readonly ends: boolean;
}

// 100 ms to the first data, 8 ms a token at the average server, 5 s left.
const cases: readonly Case[] = [
  { name: 'a short answer anywhere', outputTokens: 50, slowness: 4, timePerToken: 8, ends: true },
  {
    name: 'a long one at a fast server',
    outputTokens: 900,
    slowness: 0.6,
    timePerToken: 8,
    ends: true,
  },
  { name: 'not at a slow one', outputTokens: 900, slowness: 1.7, timePerToken: 8, ends: false },
  {
    name: 'any while no pace is known',
    outputTokens: 9_000,
    slowness: 1,
    timePerToken: 0,
    ends: true,
  },
];

describe('canMeetDeadline', () => {
  cases.forEach(({ name, outputTokens, slowness, timePerToken, ends }) => {
    it(`expects ${name}`, () => {
      const options = {
        outputTokens,
        slowness,
        timePerToken,
        timeToFirstData: 100,
        timeLeft: 5_000,
      };
      expect(canMeetDeadline(options)).toEqual(ends);
    });
  });
});
