import { createRandom } from '@rattanreel/core';
import type { Random } from '@rattanreel/core';
import type { Arrival, DeploymentProfile, MeasuredWindow, Scenario } from '../types';
import drawRequestSize from './drawRequestSize';
import pickByShare from './pickByShare';
import type { RequestSize, WorkModel } from './types';

const BLOCK_TOKENS = 64;
const MAXIMUM_HASHED_BLOCKS = 64;
const SERVICE_DEADLINE_MILLISECONDS = 2_000;
/**
 * Requests with fewer tokens than `SHORT_TOKENS` count as short, with more than `LONG_TOKENS` as
 * long.
 */
const SHORT_TOKENS = 280;
const LONG_TOKENS = 1_400;

interface ArrivalOptions {
  readonly deployment: DeploymentProfile;
  readonly scenario: Scenario;
  readonly window: MeasuredWindow;
  readonly seed: number;
  readonly work: WorkModel;
  /** Requests a second at a load of 1. */
  readonly fullRate: number;
}

function hashPrefixes(request: string, size: RequestSize): string[] {
  const blocks = Math.min(MAXIMUM_HASHED_BLOCKS, Math.floor(size.promptTokens / BLOCK_TOKENS));
  const shared = size.sharedTokens / BLOCK_TOKENS;
  return Array.from({ length: blocks }, (_, block) =>
    block < shared ? `shared-${size.sharedPrefix}:${block}` : `${request}:${block}`,
  );
}

function classifyLength({ promptTokens, outputTokens }: RequestSize): Arrival['length'] {
  const tokens = promptTokens + outputTokens;
  if (tokens < SHORT_TOKENS) {
    return 'short';
  }
  return tokens > LONG_TOKENS ? 'long' : 'middle';
}

function drawArrival(options: ArrivalOptions, random: Random, index: number, at: number): Arrival {
  const { deployment, seed, work } = options;
  const request = `${seed}-${index}`;
  const size = drawRequestSize(random);
  const tier = pickByShare(deployment.tiers, random.next());
  const customer = pickByShare(deployment.customers, random.next());
  const domain = pickByShare(
    deployment.failureDomains.map(({ id, callerShare }) => ({ id, share: callerShare })),
    random.next(),
  );
  const { firstTokenMilliseconds, betweenTokensMilliseconds } = tier;
  return {
    request,
    pool: 'drafts',
    at,
    homeDomain: domain.id,
    hostDraw: random.next(),
    tier: deployment.tiers.indexOf(tier),
    customer: customer.id,
    customerWeight: customer.weight,
    ...size,
    prefixHashes: hashPrefixes(request, size),
    firstTokenDue: firstTokenMilliseconds,
    due: firstTokenMilliseconds + size.maximumOutputTokens * betweenTokensMilliseconds,
    length: classifyLength(size),
    work: work.getWork(size),
  };
}

function toServiceCall(arrival: Arrival): Arrival {
  return {
    ...arrival,
    pool: 'orders',
    tier: 0,
    promptTokens: 1,
    outputTokens: 1,
    maximumOutputTokens: 1,
    prefixHashes: [],
    firstTokenDue: SERVICE_DEADLINE_MILLISECONDS,
    due: SERVICE_DEADLINE_MILLISECONDS,
    length: 'middle',
    work: 0,
  };
}

function getLoadAt(scenario: Scenario, at: number): number {
  return scenario.load.filter((step) => step.from <= at).at(-1)?.load ?? 0;
}

/** Draws the Poisson arrivals of a scenario, in order of time; every policy gets the same. */
export default function createArrivals(options: ArrivalOptions): readonly Arrival[] {
  const { scenario, window, fullRate, deployment } = options;
  const random = createRandom(options.seed);
  const arrivals: Arrival[] = [];
  const serviceRate = deployment.serviceCallsPerSecond;
  let at = 0;
  while (at < window.end) {
    const rate = getLoadAt(scenario, at) * fullRate + serviceRate;
    at += (-Math.log(1 - random.next()) / rate) * 1_000;
    const isService = random.next() < serviceRate / rate;
    const arrival = drawArrival(options, random, arrivals.length, at);
    arrivals.push(isService ? toServiceCall(arrival) : arrival);
  }
  return arrivals;
}
