import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import chooseServer from '../decisions/chooseServer';
import createTestQueue from '../testing/createTestQueue';
import createTestServer from '../testing/createTestServer';
import type { QueuedRequest, ServerState } from '../types';
import createServableCheck from './createServableCheck';

const SERVERS = 98;
const STATES = 2_000;
const random = createRandom(7);

function createRequest(outputTokens: number, deadlineAt: number): QueuedRequest {
  return {
    id: 'request',
    priority: {
      rank: 1,
      floorRank: 1,
      isReturning: false,
      tier: 1,
      serveBy: Infinity,
      deadlineAt,
    },
    outputTokens,
    excludedServers: new Set(),
    onGranted: () => undefined,
    onRefused: () => undefined,
  };
}

function createRandomServer(index: number): ServerState {
  return {
    ...createTestServer({ id: `server-${index}` }),
    slowness: 0.5 + random.next() * 3,
    ownInFlight: random.integer(3, 6),
  };
}

describe('createServableCheck', () => {
  it('agrees with the choice of a server in each state', () => {
    for (let state = 0; state < STATES; state += 1) {
      const usable = Array.from({ length: random.integer(0, 4) }, (_, each) =>
        createRandomServer(each),
      );
      const request = createRequest(random.integer(1, 400), 1_000);
      const canMeetDeadline = (slowness: number, { outputTokens }: QueuedRequest): boolean =>
        outputTokens * 5 * slowness <= 1_000;
      const getSlowness = ({ slowness }: ServerState): number => slowness;
      const isServable = createServableCheck({ usable, now: 0, getSlowness, canMeetDeadline });
      const chosen = chooseServer({
        servers: usable,
        now: 0,
        random,
        ownDomain: 'near',
        evacuated: new Set(),
        excludedServers: new Set(),
        embargo: { isEmbargoed: () => false },
        canMeetDeadline: (server) => canMeetDeadline(server.slowness, request),
      });
      expect(isServable(request)).toEqual(chosen !== undefined);
    }
  });
});

/** Counts how often a server is examined when hundreds of requests wait for servers fast enough. */
function countExaminations(queued: number): { readonly examined: number; readonly took: number } {
  const clock = createVirtualClock();
  let examined = 0;
  const queue = createTestQueue({
    clock,
    servers: SERVERS,
    slots: 1,
    onExamined: () => {
      examined += 1;
    },
  });
  const held: ServerState[] = [];
  const hold = (server: ServerState): void => {
    held.push(server);
  };
  // A slot and an extra one at each server; server s0 takes three times as long as the others.
  const fill = (): void => {
    while (held.length < SERVERS * 2) {
      queue.enqueue({ ...createRequest(100, Infinity), onGranted: hold });
    }
  };
  for (let round = 0; round < 10; round += 1) {
    fill();
    held.splice(0).forEach((server) => {
      const duration = server.listed.id === 's0' ? 1_600 : 600;
      queue.completeAttempt(server, 1, {
        end: { kind: 'whole', status: 200 },
        duration,
        firstDataAfter: 100,
        laterChunks: 10,
        laterTime: duration - 100,
        outputTokens: 100,
      });
    });
  }
  fill();
  for (let index = 0; index < queued; index += 1) {
    queue.enqueue(createRequest(500, 3_500));
  }
  held
    .filter(({ listed }) => listed.id === 's0')
    .forEach((server) => queue.releaseUnusedSlot(server, 1));
  expect(queue.size).toEqual(queued);
  examined = 0;
  const begunAt = performance.now();
  queue.grantSlots();
  return { examined, took: performance.now() - begunAt };
}

// Fails when a decision examines each server for each request that waits: with 300 requests and 98
// servers it took 6 ms, hundreds of times a second, and the scheduler's other pools had no time.
describe('a decision while the only free slot is too slow for all that wait', () => {
  it('examines as many servers for 300 requests as for 10', () => {
    const few = countExaminations(10);
    const many = countExaminations(300);
    expect(many.examined).toEqual(few.examined);
    process.stdout.write(`# 300 requests, ${SERVERS} servers: ${many.took.toFixed(2)} ms\n`);
  });
});
