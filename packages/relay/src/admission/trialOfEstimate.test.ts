import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createTestQueue from '../testing/createTestQueue';
import type { Pools } from '../pools/types';
import createServerSpeeds from '../speed/createServerSpeeds';
import createLocalAdmission from './createLocalAdmission';

const DEADLINE = 3_000;
const ARRIVAL_INTERVAL = 25;
const SLOW_WORK = 6_000;
const USUAL_WORK = 60;
const PLACES = 24;
const SETTLING_TIME = 10_000;

interface TrialCase {
  readonly name: string;
  readonly isRepeatable: boolean;
  /** Time for which servers take longer than the deadline. */
  readonly slowFor: number;
  /** Requests that may miss their deadline; a share of the places bounds them if absent. */
  readonly mayLose?: number;
}

/** Plays requests to a pool whose estimate leaves no time for them. */
function simulate({ isRepeatable, slowFor }: TrialCase) {
  const clock = createVirtualClock();
  const queue = createTestQueue({ clock, servers: 4, slots: PLACES / 4 });
  const admission = createLocalAdmission({
    clock,
    random: createRandom(7),
    pools: { getQueue: () => queue, speeds: createServerSpeeds() } as unknown as Pools,
    quota: {} as unknown as Parameters<typeof createLocalAdmission>[0]['quota'],
  });
  const counts = { wasted: 0, lost: 0, offered: 0, served: 0, inFlight: 0, largest: 0 };

  function request(outlives: number): void {
    const sentAt = clock.now();
    const isWatched = sentAt > slowFor + SETTLING_TIME;
    counts.offered += isWatched ? 1 : 0;
    admission.requestSlot({
      requestId: `at ${sentAt}`,
      pool: 'pool',
      customer: undefined,
      cost: 0,
      priority: {
        rank: 0,
        floorRank: 0,
        isReturning: false,
        tier: 0,
        serveBy: sentAt + 400,
        deadlineAt: sentAt + outlives,
        isRepeatable,
      },
      outputTokens: 0,
      excludedServers: new Set(),
      onGranted(grant) {
        counts.inFlight += 1;
        counts.largest = Math.max(counts.largest, sentAt < slowFor ? counts.inFlight : 0);
        const work = clock.now() < slowFor ? SLOW_WORK : USUAL_WORK;
        const duration = Math.min(work, outlives);
        const isAnswered = work <= outlives;
        clock.after(duration, () => {
          counts.inFlight -= 1;
          counts.wasted += isAnswered ? 0 : duration;
          counts.lost += isAnswered ? 0 : 1;
          counts.served += isWatched ? 1 : 0;
          grant.complete({
            end: isAnswered
              ? { kind: 'whole', status: 200 }
              : { kind: 'aborted', reason: 'timeout' },
            duration,
            firstDataAfter: isAnswered ? duration : undefined,
            laterChunks: 0,
            laterTime: 0,
            outputTokens: 0,
          });
        });
      },
      onRefused: () => undefined,
    });
  }

  // Responses to callers that wait for long teach the pool how slow its servers are.
  Array.from({ length: PLACES }, () => request(SLOW_WORK));
  clock.advance(SLOW_WORK);
  counts.largest = 0;
  while (clock.now() < slowFor + 2 * SETTLING_TIME) {
    request(DEADLINE);
    clock.advance(ARRIVAL_INTERVAL);
  }
  clock.advance(DEADLINE);
  const { wasted, lost, offered, served, largest } = counts;
  const wastedShare = wasted / (PLACES * Math.max(slowFor - SLOW_WORK, 1));
  return { wastedShare, lost, largest, served: served / offered };
}

describe('requests that try out what an estimate refuses', () => {
  const cases: readonly TrialCase[] = [
    { name: 'requests that may run again', isRepeatable: true, slowFor: 6_000 },
    { name: 'requests that may run once', isRepeatable: false, slowFor: 6_000, mayLose: 0 },
    { name: 'lasting slowness, once', isRepeatable: false, slowFor: 30_000, mayLose: 3 },
    { name: 'lasting slowness', isRepeatable: true, slowFor: 30_000 },
  ];
  cases.forEach((trialCase) => {
    // Guards against estimates that leave no time for any request, and so are never corrected.
    it(`go one at a time, waste little and end the refusals: ${trialCase.name}`, () => {
      const { wastedShare, lost, largest, served } = simulate(trialCase);
      expect(largest).toBeLessThanOrEqual(1);
      expect(wastedShare).toBeLessThan(0.05);
      expect(served).toBeGreaterThan(0.95);
      expect(lost).toBeLessThanOrEqual(trialCase.mayLose ?? Infinity);
    });
  });
});
