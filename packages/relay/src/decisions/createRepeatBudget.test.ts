import { describe, it } from 'node:test';
import { expect } from 'earl';
import createRepeatBudget from './createRepeatBudget';

interface Case {
  readonly name: string;
  readonly hosts: number;
  readonly requestsPerSecond: number;
}

const cases: readonly Case[] = [
  { name: 'one busy host', hosts: 1, requestsPerSecond: 100 },
  { name: 'six hosts', hosts: 6, requestsPerSecond: 100 },
  { name: 'many hosts with few requests', hosts: 88, requestsPerSecond: 100 },
  { name: 'no requests', hosts: 6, requestsPerSecond: 0 },
];

const RATIO = 0.2;
const SLACK = 52;
const WINDOW_MS = 10_000;

describe('createRepeatBudget', () => {
  cases.forEach(({ name, hosts, requestsPerSecond }) => {
    it(`keeps all hosts' repeats of a window within the bound: ${name}`, () => {
      const budgets = Array.from({ length: hosts }, () => {
        const budget = createRepeatBudget({
          bounds: { repeatRatio: RATIO, repeatWindow: WINDOW_MS, repeatSlack: SLACK },
        });
        budget.setHosts(hosts);
        return budget;
      });
      const repeats: number[] = [];
      for (let now = 0; now < 3 * WINDOW_MS; now += 10) {
        if (requestsPerSecond > 0) {
          budgets[(now / 10) % hosts]!.noteRequest(now);
        }
        budgets.forEach((budget) => {
          if (budget.tryRepeat(now)) {
            repeats.push(now);
          }
        });
      }
      const bound = RATIO * requestsPerSecond * 10 + SLACK;
      repeats.forEach((from) => {
        const inWindow = repeats.filter((at) => at >= from && at < from + WINDOW_MS).length;
        expect(inWindow).toBeLessThanOrEqual(bound);
      });
    });
  });
});
