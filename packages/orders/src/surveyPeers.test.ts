import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import { runInVirtualTime } from '@rattanreel/stand-in-platform';
import surveyPeers from './surveyPeers';
import type { OrderRequest, OwnerAnswer } from './types';

const ORDER: OrderRequest = {
  customer: 'cushions',
  method: 'POST',
  path: '/orders',
  body: 'hulls',
  key: { kind: 'callerKey', key: 'k-1' },
};
const UNKNOWN: OwnerAnswer = { kind: 'unknown', hasForgotten: false };
const FORGOTTEN: OwnerAnswer = { kind: 'unknown', hasForgotten: true };
const GIVEN_UP: OwnerAnswer = { kind: 'givenUp', nonces: ['n'] };
const FAST_ANSWER_DELAY = 5;
const SLOW_ANSWER_DELAY = 2_500;

describe(surveyPeers.name, () => {
  const cases = [
    {
      name: 'all peers deny in time',
      answers: [UNKNOWN, GIVEN_UP],
      delays: [FAST_ANSWER_DELAY],
      says: 'not-run',
    },
    { name: 'there are no peers', answers: [], delays: [FAST_ANSWER_DELAY], says: 'not-run' },
    {
      name: 'one peer has evicted orders',
      answers: [UNKNOWN, FORGOTTEN],
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
    },
    {
      name: 'one peer is gone',
      answers: [{ kind: 'gone' }],
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
    },
    {
      name: 'one peer is unreachable',
      answers: [UNKNOWN, { kind: 'unreachable' }],
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
    },
    {
      name: 'peers deny late, and in time when asked again',
      answers: [UNKNOWN],
      delays: [SLOW_ANSWER_DELAY, FAST_ANSWER_DELAY],
      says: 'not-run',
    },
    {
      name: 'peers deny late each time',
      answers: [UNKNOWN],
      delays: [SLOW_ANSWER_DELAY, SLOW_ANSWER_DELAY],
      says: 'may-have-run',
    },
    {
      name: 'the view of peers is incomplete',
      answers: [UNKNOWN],
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
      isComplete: false,
    },
    {
      name: 'this host has evicted orders',
      answers: [UNKNOWN],
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
      hasForgotten: true,
    },
    {
      name: 'there are too many peers',
      answers: Array<OwnerAnswer>(17).fill(UNKNOWN),
      delays: [FAST_ANSWER_DELAY],
      says: 'may-have-run',
    },
  ] as const;
  for (const each of cases) {
    const { name, delays, says } = each;
    const answers: readonly OwnerAnswer[] = each.answers;
    it(`returns ${says} when ${name}`, async () => {
      const clock = createVirtualClock();
      const asked = new Map<string, number>();
      const result = await runInVirtualTime(
        clock,
        surveyPeers({
          order: ORDER,
          clock,
          hasForgotten: () => 'hasForgotten' in each,
          view: {
            peers: answers.map((_, index) => ({ entryHost: String(index), incarnation: '' })),
            isComplete: !('isComplete' in each),
          },
          askOwner: (owner) => {
            const round = asked.get(owner.entryHost) ?? 0;
            asked.set(owner.entryHost, round + 1);
            return new Promise((resolve) => {
              clock.after(delays[round] ?? 0, () => resolve(answers[Number(owner.entryHost)]!));
            });
          },
        }),
      );
      expect(result.kind === 'error' && result.error.execution).toEqual(says);
    });
  }
});
