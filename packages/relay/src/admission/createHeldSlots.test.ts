import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import createTestServer from '../testing/createTestServer';
import createHeldSlots from './createHeldSlots';
import type { SchedulerRequest, SlotRequest } from './types';

// Fails when a scheduler, which sees no responses itself, does not learn what servers report.
describe('createHeldSlots', () => {
  it('returns a slot with the load that its server reported, and its age', () => {
    const clock = createVirtualClock();
    const sent: SchedulerRequest[] = [];
    const held = createHeldSlots({ clock, sendToScheduler: (message) => sent.push(message) });
    const request = { pool: 'pool', priority: { tier: 0 } } as SlotRequest;
    const view = { own: 1, others: 0, slowness: 1, failures: 0 };
    const grant = held.hold(1, request, { server: createTestServer().listed, view }, undefined);
    grant.recordLoad({ running: 3, waiting: 1, slowdown: 4, age: 0 });
    clock.advance(250);
    const figures = {
      end: { kind: 'whole', status: 200 },
      duration: 300,
      firstDataAfter: 50,
      laterChunks: 0,
      laterTime: 0,
      outputTokens: 50,
    } as const;
    grant.complete(figures);
    const load = { running: 3, waiting: 1, slowdown: 4, age: 250 };
    expect(sent).toEqual([{ kind: 'return', ticket: 1, figures, load }]);
  });
});
