import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '@rattanreel/core';
import type { Random } from '@rattanreel/core';
import type { VersionEvidence } from '@rattanreel/scheduling';
import createRegressionDetector from './createRegressionDetector';

const ROUTES = ['quotes', 'claims', 'chat'];
const TIERS = 2;
/** Maximum number of requests that a regressed version receives in one failure domain before detection. */
const MAXIMUM_BAD_REQUESTS = 200;

interface Fault {
  readonly failureRate?: number;
  readonly firstTokenFactor?: number;
  readonly betweenTokensFactor?: number;
  readonly from?: number;
  readonly route?: string;
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

interface DrawOptions {
  readonly random: Random;
  readonly share: number;
  readonly index: number;
  readonly fault: Fault;
  readonly baseFailureRate: number;
}

function drawEvidence({
  random,
  share,
  index,
  fault,
  baseFailureRate,
}: DrawOptions): VersionEvidence {
  const version = random.next() < share ? '2' : '1';
  const route = ROUTES[random.integer(0, ROUTES.length - 1)]!;
  const bad =
    version === '2' &&
    index >= (fault.from ?? 0) &&
    (fault.route === undefined || fault.route === route);
  const promptTokens = Math.floor(20 * 100 ** random.next());
  const noise = Math.exp(0.4 * drawNormal(random));
  const failed = random.next() < (bad ? (fault.failureRate ?? baseFailureRate) : baseFailureRate);
  const firstToken = (50 + promptTokens * 0.5) * noise * (bad ? (fault.firstTokenFactor ?? 1) : 1);
  const betweenTokens = 20 * Math.exp(0.2 * drawNormal(random));
  return {
    kind: 'versionEvidence',
    version,
    route,
    tier: random.integer(0, TIERS - 1),
    failed,
    firstTokenAfter: failed ? undefined : firstToken,
    betweenTokens: failed
      ? undefined
      : betweenTokens * (bad ? (fault.betweenTokensFactor ?? 1) : 1),
    outputTokens: 100,
    promptTokens,
  };
}

interface DetectorRun {
  readonly seed: number;
  readonly share: number;
  readonly requests: number;
  readonly fault: Fault;
  readonly baseFailureRate?: number;
}

/** Returns the detected cause and the number of requests to the regressed version from its onset to detection. */
function runDetector({ seed, share, requests, fault, baseFailureRate = 0.004 }: DetectorRun): {
  readonly ground: string | undefined;
  readonly badRequests: number;
} {
  const detector = createRegressionDetector({ from: '1', to: '2', failureDomains: 3 });
  const random = createRandom(seed);
  let badRequests = 0;
  for (let index = 0; index < requests; index += 1) {
    const evidence = drawEvidence({ random, share, index, fault, baseFailureRate });
    badRequests += evidence.version === '2' && index >= (fault.from ?? 0) ? 1 : 0;
    const regression = detector.observe(evidence, index * 50);
    if (regression !== undefined) {
      return { ground: regression.ground, badRequests };
    }
  }
  return { ground: undefined, badRequests };
}

describe(createRegressionDetector.name, () => {
  const bad = [
    { name: 'fails always', fault: { failureRate: 1 }, ground: 'errors' },
    { name: 'fails at times', fault: { failureRate: 0.2 }, ground: 'errors' },
    { name: 'fails later', fault: { failureRate: 0.5, from: 15_000 }, ground: 'errors' },
    {
      name: 'fails on one route',
      fault: { failureRate: 0.5, route: 'chat' },
      ground: 'errors',
    },
    { name: 'starts slowly', fault: { firstTokenFactor: 3 }, ground: 'slowFirstToken' },
    {
      name: 'streams slowly',
      fault: { betweenTokensFactor: 2 },
      ground: 'slowBetweenTokens',
    },
    {
      name: 'streams slowly later',
      fault: { betweenTokensFactor: 2, from: 15_000 },
      ground: 'slowBetweenTokens',
    },
    {
      name: 'starts slowly on one route',
      fault: { firstTokenFactor: 3, route: 'quotes' },
      ground: 'slowFirstToken',
    },
  ];
  for (const { name, fault, ground } of bad) {
    for (const share of [0.02, 0.3]) {
      it(`detects a version that ${name} at share ${share}`, () => {
        const run = runDetector({ seed: 5, share, requests: 40_000, fault });
        expect(run.ground).toEqual(ground);
        expect(run.badRequests).toBeLessThanOrEqual(MAXIMUM_BAD_REQUESTS);
      });
    }
  }

  const good = [
    { name: 'a small share', share: 0.02, baseFailureRate: 0.004 },
    { name: 'half the traffic', share: 0.5, baseFailureRate: 0.004 },
    { name: 'both versions failing from a common cause', share: 0.1, baseFailureRate: 0.3 },
  ];
  for (const { name, share, baseFailureRate } of good) {
    it(`detects nothing in versions without a regression with ${name}`, () => {
      let falsePositives = 0;
      for (let seed = 1; seed <= 40; seed += 1) {
        const run = runDetector({ seed, share, requests: 4000, fault: {}, baseFailureRate });
        falsePositives += run.ground === undefined ? 0 : 1;
      }
      expect(falsePositives).toEqual(0);
    });
  }
});
