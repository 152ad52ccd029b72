import type { Milliseconds, Random } from '@rattanreel/core';
import type { VersionEvidence } from '@rattanreel/scheduling';
import type { VersionFault } from './types';

const ROUTES: readonly string[] = ['quotes', 'claims', 'chat', 'stock'];
const FAULTY_ROUTE = 'claims';
const TIER_COUNT = 3;
const BASE_FAILURE_RATE = 0.004;
const MINIMUM_PROMPT_TOKENS = 20;
/** Ratio of the longest to the shortest prompt. */
const PROMPT_LENGTH_RATIO = 100;
const FIRST_TOKEN_BASE_MILLISECONDS = 60;
const FIRST_TOKEN_PER_TOKEN_MILLISECONDS = 0.4;
const FIRST_TOKEN_LOG_DEVIATION = 0.45;
const BETWEEN_TOKENS_MILLISECONDS = 25;
const BETWEEN_TOKENS_LOG_DEVIATION = 0.2;
const FAILURE_MILLISECONDS: Milliseconds = 300;
/** Requests of the new version that a failure domain serves cold, with later first tokens. */
const COLD_REQUESTS = 8;
const COLD_FACTOR = 2;

interface TrafficOptions {
  readonly random: Random;
  readonly fault: VersionFault;
}

interface DrawOptions {
  readonly isNew: boolean;
  /** Share of the new version in the failure domain. */
  readonly share: number;
  /** Requests of the new version in the failure domain before this one. */
  readonly newRequestsBefore: number;
  /** Time since the move's start. */
  readonly now: Milliseconds;
}

interface DrawnRequest {
  readonly evidence: VersionEvidence;
  readonly duration: Milliseconds;
  /** Whether the version's fault acted on it. */
  readonly isFaulty: boolean;
}

interface TrafficModel {
  draw(options: DrawOptions): DrawnRequest;
  /** Returns a number in [0, 1). */
  drawUnit(): number;
  /** Draws a Poisson-distributed number of arrivals with the given mean. */
  drawCount(mean: number): number;
}

/**
 * Creates a model that draws requests and their durations from fixed distributions. The versions
 * differ only by the fault and by the cold start of the new one.
 */
export default function createTrafficModel({ random, fault }: TrafficOptions): TrafficModel {
  function drawNormal(): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  }

  function isFaulty(route: string, { isNew, now, share }: DrawOptions): boolean {
    if (!isNew || fault.kind === 'good') {
      return false;
    }
    switch (fault.onset) {
      case 'atOnce':
        return true;
      case 'later':
        return now >= fault.after;
      case 'underLoad':
        return share >= fault.fromShare;
      case 'oneRoute':
        return route === FAULTY_ROUTE;
      default:
        return fault.onset satisfies never;
    }
  }

  return {
    draw(options) {
      const route = ROUTES[random.integer(0, ROUTES.length - 1)]!;
      const faulty = isFaulty(route, options);
      const symptom = faulty && fault.kind === 'bad' ? fault.symptom : undefined;
      const severity = fault.kind === 'bad' ? fault.severity : 1;
      const promptTokens = Math.floor(MINIMUM_PROMPT_TOKENS * PROMPT_LENGTH_RATIO ** random.next());
      const failed = random.next() < (symptom === 'fails' ? severity : BASE_FAILURE_RATE);
      const isCold = options.isNew && options.newRequestsBefore < COLD_REQUESTS;
      const firstTokenAfter =
        (FIRST_TOKEN_BASE_MILLISECONDS + FIRST_TOKEN_PER_TOKEN_MILLISECONDS * promptTokens) *
        Math.exp(FIRST_TOKEN_LOG_DEVIATION * drawNormal()) *
        (symptom === 'slowFirstToken' ? severity : 1) *
        (isCold ? COLD_FACTOR : 1);
      const betweenTokens =
        BETWEEN_TOKENS_MILLISECONDS *
        Math.exp(BETWEEN_TOKENS_LOG_DEVIATION * drawNormal()) *
        (symptom === 'slowBetweenTokens' ? severity : 1);
      const outputTokens = random.integer(10, 120);
      return {
        evidence: {
          kind: 'versionEvidence',
          version: options.isNew ? 'new' : 'old',
          route,
          tier: random.integer(0, TIER_COUNT - 1),
          failed,
          firstTokenAfter: failed ? undefined : firstTokenAfter,
          betweenTokens: failed ? undefined : betweenTokens,
          outputTokens: failed ? 0 : outputTokens,
          promptTokens,
        },
        duration: failed ? FAILURE_MILLISECONDS : firstTokenAfter + outputTokens * betweenTokens,
        isFaulty: faulty,
      };
    },
    drawUnit: () => random.next(),
    drawCount(mean) {
      const limit = Math.exp(-mean);
      let count = 0;
      let product = random.next();
      while (product > limit) {
        count += 1;
        product *= random.next();
      }
      return count;
    },
  };
}
