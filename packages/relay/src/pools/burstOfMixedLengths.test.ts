import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import getRetryDelay from '../decisions/getRetryDelay';
import createRequestClassifier from '../decisions/createRequestClassifier';
import createRouteTable from '../decisions/createRouteTable';
import planRequest from '../front/planRequest';
import type { RequestPlan } from '../front/types';
import createTestQueue from '../testing/createTestQueue';
import headerNames from '../testing/headerNames';
import type { Route, ServerState } from '../types';

/** A kind of request: the tier of its route, its arrival rate, its mean response length. */
interface Kind {
  readonly tier: number;
  readonly perSecond: number;
  readonly meanTokens: number;
  readonly objective: number;
  readonly timeout: number;
}

interface ServedCounts {
  offered: number;
  inTime: number;
}

interface Case {
  readonly name: string;
  /** Factor on every arrival rate. */
  readonly load: number;
  /** Minimum share of requests answered in time, by tier. */
  readonly minimumShares: readonly number[];
}

const FIRST_DATA_AFTER = 110;
const TOKEN_TIME = 6;
const SIMULATED_DURATION = 20_000;

// Response lengths follow the users' distribution: a tenth of them makes up two fifths of the work.
const kinds: readonly Kind[] = [
  { tier: 0, perSecond: 36, meanTokens: 50, objective: 500, timeout: 5_000 },
  { tier: 1, perSecond: 44, meanTokens: 22, objective: 400, timeout: 3_000 },
  { tier: 2, perSecond: 14, meanTokens: 280, objective: 400, timeout: 15_000 },
];

// At normal load the tiers need 15, 11 and 25 of the 36 slots, which leaves 10 for the last one. At
// 1.8 times that load the first takes 27 and the last its floor of 5; the shorter half of tier 1
// needs 5, all of it 19.
const cases: readonly Case[] = [
  { name: 'normal load', load: 1, minimumShares: [0.95, 0.95, 0.4] },
  { name: '1.8 times the normal load', load: 1.8, minimumShares: [0.95, 0.45, 0.1] },
];

const routes: readonly Route[] = kinds.map(({ tier, objective, timeout }) => ({
  name: `route-${tier}`,
  hostName: 'callers.example',
  pathPrefix: `/${tier}/`,
  kind: 'stream',
  timeout,
  objective,
  tier,
  targets: [{ pool: 'pool', weight: 1 }],
  maximumAttempts: 1,
  isAnonymous: true,
  isResumable: false,
}));

/**
 * Simulates arrivals in virtual time; a refused caller returns once, after the delay it was given.
 */
function simulate(load: number): readonly ServedCounts[] {
  const clock = createVirtualClock();
  const random = createRandom(11);
  const queue = createTestQueue({ clock, servers: 6, slots: 6 });
  const table = createRouteTable(routes);
  const classifier = createRequestClassifier();
  const served: ServedCounts[] = kinds.map(() => ({ offered: 0, inTime: 0 }));

  function drawTokens({ meanTokens }: Kind): number {
    const spread = 1.5;
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(6.283 * random.next());
    return Math.ceil(meanTokens * Math.exp(spread * normal - spread ** 2 / 2));
  }

  function serve(server: ServerState, plan: RequestPlan, firstSentAt: number): void {
    const { tier } = plan.priority;
    const isInTime = clock.now() + FIRST_DATA_AFTER - firstSentAt <= plan.route.objective;
    served[tier]!.inTime += isInTime ? 1 : 0;
    const duration = FIRST_DATA_AFTER + plan.outputTokens * TOKEN_TIME;
    clock.after(duration, () =>
      queue.completeAttempt(server, tier, {
        end: { kind: 'whole', status: 200 },
        duration,
        firstDataAfter: FIRST_DATA_AFTER,
        laterChunks: 0,
        laterTime: 0,
        outputTokens: 50,
      }),
    );
  }

  function sendRequest(kind: Kind, tokens: number, deadlineAt: number, firstSentAt: number): void {
    const now = clock.now();
    const planned = planRequest({
      headers: {
        host: 'callers.example',
        [headerNames.deadline]: String(deadlineAt - now),
        [headerNames.tokenCount]: `1000,${tokens}`,
      },
      exchange: {
        method: 'POST',
        target: `/${kind.tier}/`,
        body: Buffer.alloc(0),
        arrivedAt: now,
      },
      names: headerNames,
      routes: table,
      customersByKey: undefined,
      classifier,
      random,
    });
    if (planned.kind !== 'ok') {
      throw new Error(`request of tier ${kind.tier} was rejected`);
    }
    const { plan } = planned;
    const refuse = (): void => {
      classifier.recordRefusal(plan.route.name, clock.now());
      if (now === firstSentAt) {
        const delay = getRetryDelay(plan.priority.deadlineAt - clock.now(), random);
        clock.after(delay, () => sendRequest(kind, tokens, deadlineAt, firstSentAt));
      }
    };
    const admission = queue.enqueue({
      id: plan.requestId,
      priority: plan.priority,
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted: (server) => serve(server, plan, firstSentAt),
      onRefused: refuse,
    });
    if (admission.kind === 'refused') {
      refuse();
    }
  }

  function scheduleArrival(kind: Kind): void {
    const gap = (-Math.log(1 - random.next()) * 1_000) / (kind.perSecond * load);
    clock.after(gap, () => {
      const now = clock.now();
      served[kind.tier]!.offered += 1;
      // Deadlines of callers differ by up to 0.15 of the longest.
      sendRequest(kind, drawTokens(kind), now + kind.timeout * (1 - 0.15 * random.next()), now);
      scheduleArrival(kind);
    });
  }

  kinds.forEach(scheduleArrival);
  clock.advance(SIMULATED_DURATION);
  return served;
}

describe('a burst of short and long responses', () => {
  cases.forEach(({ name, load, minimumShares }) => {
    it(`answers fresh requests in time, the short ones first: ${name}`, () => {
      const shares = simulate(load).map(({ offered, inTime }) => inTime / offered);
      shares.forEach((share, tier) => expect(share).toBeGreaterThanOrEqual(minimumShares[tier]!));
    });
  });
});
