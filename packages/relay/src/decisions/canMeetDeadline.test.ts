import { describe, it } from 'node:test';
import { expect } from 'earl';
import canMeetDeadline from './canMeetDeadline';

interface Case {
  readonly name: string;
  readonly outputTokens: number;
  readonly slowness: number;
  readonly timePerToken: number;
  readonly expected: boolean;
}

// 100 ms to the first data, 8 ms per token at an average server, 5 s left.
const cases: readonly Case[] = [
  {
    name: 'a short response in time at any server',
    outputTokens: 50,
    slowness: 4,
    timePerToken: 8,
    expected: true,
  },
  {
    name: 'a long one in time at a fast server',
    outputTokens: 900,
    slowness: 0.6,
    timePerToken: 8,
    expected: true,
  },
  {
    name: 'a long one late at a slow server',
    outputTokens: 900,
    slowness: 1.7,
    timePerToken: 8,
    expected: false,
  },
  {
    name: 'any one in time while the time per token is unknown',
    outputTokens: 9_000,
    slowness: 1,
    timePerToken: 0,
    expected: true,
  },
];

describe('canMeetDeadline', () => {
  cases.forEach(({ name, outputTokens, slowness, timePerToken, expected }) => {
    it(`expects ${name}`, () => {
      const options = {
        outputTokens,
        slowness,
        timePerToken,
        timeToFirstData: 100,
        timeLeft: 5_000,
      };
      expect(canMeetDeadline(options)).toEqual(expected);
    });
  });
});
