import { build } from 'hdr-histogram-js';
import { Debug } from '@rattanreel/core';
import type { BenchmarkArguments } from '../types';
import startOverheadDeployment from './startOverheadDeployment';
import type { CostedBatch, LatencyFigures, OverheadDeployment, Route } from './types';

const REQUESTS_PER_SECOND = 200;
const SECONDS_PER_ROUND = 3;
const ROUNDS = 4;
const OUTPUT_TOKENS = 8;
const LONG_OUTPUT_TOKENS = 208;
const COST_REQUESTS = 400;
const COST_CALLERS = 32;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** 1.1 million tokens a second over 360 nodes, according to the users' target. */
const TOKENS_PER_NODE_AT_TARGET = 3_100;
const TARGET_ADDED_P50_MILLISECONDS = 2;
const TARGET_ADDED_P99_MILLISECONDS = 10;

function computeLatencyFigures(values: readonly number[]): LatencyFigures {
  const histogram = build({ numberOfSignificantValueDigits: 3, lowestDiscernibleValue: 1 });
  values.forEach((value) => histogram.recordValue(value * MICROSECONDS_PER_MILLISECOND));
  return {
    p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
  };
}

/**
 * Measures the first-token times of both routes. The routes alternate, so that a slow phase of the
 * machine affects both.
 */
async function measureLatencies(
  { direct, throughEntryHost, measure }: OverheadDeployment,
  rounds: number,
): Promise<{ readonly direct: LatencyFigures; readonly throughEntryHost: LatencyFigures }> {
  const timed: Record<Route['name'], number[]> = { direct: [], throughEntryHost: [] };
  for (let round = 0; round < rounds; round += 1) {
    for (const route of [direct, throughEntryHost]) {
      const batch = await measure({
        route,
        label: `latency-${round}`,
        requests: REQUESTS_PER_SECOND * SECONDS_PER_ROUND,
        requestsPerSecond: REQUESTS_PER_SECOND,
        outputTokens: OUTPUT_TOKENS,
      });
      const areAllComplete = batch.requests.every((request) => request.isComplete);
      Debug.invariant(areAllComplete, 'overhead-answer-not-whole', () => route.name);
      timed[route.name].push(...batch.requests.map(({ firstToken }) => firstToken));
    }
  }
  return {
    direct: computeLatencyFigures(timed.direct),
    throughEntryHost: computeLatencyFigures(timed.throughEntryHost),
  };
}

/** Sends requests in a closed loop through the entry host, with responses of one length. */
function measureCost(
  { throughEntryHost, measure }: OverheadDeployment,
  outputTokens: number,
): Promise<CostedBatch> {
  return measure({
    route: throughEntryHost,
    label: `cost-${outputTokens}`,
    requests: COST_REQUESTS,
    callers: COST_CALLERS,
    outputTokens,
  });
}

function getMillisecondsPerRequest({ busyMilliseconds, requests }: CostedBatch): number {
  return busyMilliseconds / requests.length;
}

/**
 * Measures the latency and processor time that an entry host adds to a call of a stand-in engine,
 * with both routes in one run.
 */
export default async function run(options: BenchmarkArguments): Promise<unknown> {
  const deployment = await startOverheadDeployment(options.seed);
  // Warms up the compiler and the learnt stream limit of the engine.
  await measureCost(deployment, OUTPUT_TOKENS + 1);
  await measureCost(deployment, OUTPUT_TOKENS + 2);
  const latencies = await measureLatencies(deployment, options.quick ? 1 : ROUNDS);
  const short = await measureCost(deployment, OUTPUT_TOKENS);
  const long = await measureCost(deployment, LONG_OUTPUT_TOKENS);
  await deployment.stop();

  const millisecondsPerToken =
    (getMillisecondsPerRequest(long) - getMillisecondsPerRequest(short)) /
    (LONG_OUTPUT_TOKENS - OUTPUT_TOKENS);
  const addedMillisecondsP50 = latencies.throughEntryHost.p50 - latencies.direct.p50;
  const addedMillisecondsP99 = latencies.throughEntryHost.p99 - latencies.direct.p99;
  return {
    seed: options.seed,
    requestsPerSecond: REQUESTS_PER_SECOND,
    firstTokenMilliseconds: latencies,
    addedMillisecondsP50,
    addedMillisecondsP99,
    targets: {
      addedMillisecondsP50: TARGET_ADDED_P50_MILLISECONDS,
      addedMillisecondsP99: TARGET_ADDED_P99_MILLISECONDS,
      met:
        addedMillisecondsP50 <= TARGET_ADDED_P50_MILLISECONDS &&
        addedMillisecondsP99 <= TARGET_ADDED_P99_MILLISECONDS,
    },
    requestsPerSecondBorne:
      (short.requests.length * MILLISECONDS_PER_SECOND) / short.elapsedMilliseconds,
    outputTokensPerRequest: OUTPUT_TOKENS,
    busyMillisecondsPerRequest:
      getMillisecondsPerRequest(short) - millisecondsPerToken * OUTPUT_TOKENS,
    busyMicrosecondsPerToken: millisecondsPerToken * MICROSECONDS_PER_MILLISECOND,
    tokensRelayedPerCoreSecond: MILLISECONDS_PER_SECOND / millisecondsPerToken,
    tokensPerNodeAtTarget: TOKENS_PER_NODE_AT_TARGET,
  };
}
