import { describe, it } from 'node:test';
import { createVirtualClock } from '@rattanreel/core';
import { expect } from 'earl';
import createQuotaWait from './createQuotaWait';
import type { LocalAdmission, SlotRequest } from './types';

const RATE = 1_000;
const COST = 100;
const REFILL_MS = (COST / RATE) * 1_000;
const OBJECTIVE_MS = 1_000;

/** Creates an admission whose customer has one bucket of this level, refilled at `RATE`. */
function createTestWait(initialLevel: number) {
  const clock = createVirtualClock();
  const events: string[] = [];
  let spent = -initialLevel;
  const local: LocalAdmission = {
    requestSlot({ requestId, cost, onRefused }) {
      const level = (clock.now() * RATE) / 1_000 - spent;
      if (level < cost) {
        const retryAfter = ((cost - level) / RATE) * 1_000;
        const quota = { level, rate: RATE, burst: 0, cost, othersSpent: 0, share: 1 };
        onRefused({ reason: 'overQuota', retryAfter, quota });
        return () => undefined;
      }
      spent += cost;
      events.push(`${requestId} admitted`);
      return () => events.push(`${requestId} cancelled at the pool`);
    },
    refund: () => undefined,
    trySpendRetry: () => true,
    recordRequest: () => undefined,
    tryAdoptSlot: () => undefined,
    preview: () => {
      throw new Error('nothing is only asked about here');
    },
  };
  const admission = createQuotaWait({ clock, admission: local });
  return {
    clock,
    events,
    send(requestId: string, rank: number, objective = OBJECTIVE_MS): () => void {
      const request: SlotRequest = {
        requestId,
        pool: 'pool',
        customer: 'customer',
        cost: COST,
        priority: {
          rank,
          floorRank: rank,
          isReturning: false,
          tier: 0,
          serveBy: clock.now() + objective,
          deadlineAt: clock.now() + 4 * objective,
        },
        outputTokens: 1,
        excludedServers: new Set(),
        onGranted: () => undefined,
        onRefused: ({ reason }) => events.push(`${requestId} ${reason}`),
      };
      return admission.requestSlot(request);
    },
  };
}

describe('createQuotaWait', () => {
  // Guards against refusing requests for a quota that has run short for a moment.
  it('lets requests wait, and charges them by rank and then by arrival', () => {
    const { clock, events, send } = createTestWait(COST);
    send('first', 2);
    send('low', 3);
    send('middle', 2);
    send('next', 2);
    send('high', 1);
    clock.advance(5 * REFILL_MS);
    expect(events).toEqual([
      'first admitted',
      'high admitted',
      'middle admitted',
      'next admitted',
      'low admitted',
    ]);
  });

  // Guards against a wait in which a request misses its objective, or its caller is kept waiting.
  it('refuses at once what would have to wait for too long', () => {
    const { events, send } = createTestWait(0);
    send('short', 1, 1.5 * REFILL_MS);
    expect(events).toEqual(['short overQuota']);
    // The fifth can be charged after half of its objective, the sixth could not.
    ['a', 'b', 'c', 'd', 'e', 'f'].forEach((id) => send(id, 1));
    expect(events).toEqual(['short overQuota', 'f overQuota']);
  });

  // Guards against requests that wait without end behind more urgent ones.
  it('refuses a request that waited in vain once half of its time has passed', () => {
    const { clock, events, send } = createTestWait(0);
    send('low', 2);
    for (let index = 0; index < 10; index += 1) {
      send(`high ${index}`, 1);
      clock.advance(REFILL_MS);
    }
    expect(events.indexOf('low overQuota')).toBeGreaterThan(0);
    expect(events.filter((event) => event.startsWith('low'))).toEqual(['low overQuota']);
  });

  // Guards against charging a customer whose caller has gone.
  it('charges nothing for a request that is cancelled while it waits', () => {
    const { clock, events, send } = createTestWait(0);
    const cancel = send('gone', 1);
    send('next', 1);
    cancel();
    clock.advance(1.5 * REFILL_MS);
    expect(events).toEqual(['next admitted']);
  });

  it('cancels a request at the pool once it has been admitted', () => {
    const { clock, events, send } = createTestWait(0);
    const cancel = send('late', 1);
    clock.advance(1.5 * REFILL_MS);
    cancel();
    expect(events).toEqual(['late admitted', 'late cancelled at the pool']);
  });
});
