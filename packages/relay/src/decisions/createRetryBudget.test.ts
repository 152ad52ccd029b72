import { describe, it } from 'node:test';
import { expect } from 'earl';
import createRetryBudget from './createRetryBudget';

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

describe('createRetryBudget', () => {
  cases.forEach(({ name, hosts, requestsPerSecond }) => {
    it(`keeps the retries of all hosts in a window within the limit: ${name}`, () => {
      const budgets = Array.from({ length: hosts }, () => {
        const budget = createRetryBudget({
          bounds: { retryRatio: RATIO, retryWindow: WINDOW_MS, retrySlack: SLACK },
        });
        budget.setHosts(hosts);
        return budget;
      });
      const retries: number[] = [];
      for (let now = 0; now < 3 * WINDOW_MS; now += 10) {
        if (requestsPerSecond > 0) {
          budgets[(now / 10) % hosts]!.recordRequest(now);
        }
        budgets.forEach((budget) => {
          if (budget.trySpendRetry(now)) {
            retries.push(now);
          }
        });
      }
      const bound = RATIO * requestsPerSecond * 10 + SLACK;
      retries.forEach((from) => {
        const inWindow = retries.filter((at) => at >= from && at < from + WINDOW_MS).length;
        expect(inWindow).toBeLessThanOrEqual(bound);
      });
    });
  });
});
