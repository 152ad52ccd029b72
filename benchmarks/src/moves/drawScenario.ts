import type { Milliseconds, Random } from '@rattanreel/core';
import type { OutagePolicy } from '@rattanreel/moves';
import type { DomainInterval, Interval, MoveScenario, VersionFault } from './types';

const SPANS_MILLISECONDS: readonly Milliseconds[] = [900_000, 1_200_000, 1_800_000];
const REQUESTS_PER_SECOND: readonly number[] = [10, 20, 30];
const OUTAGES_MILLISECONDS: readonly Milliseconds[] = [0, 30_000, 300_000];
const CONTROLLER_DEATHS: readonly number[] = [0, 1, 3];
const BAKE_TIME_MILLISECONDS: Milliseconds = 120_000;
/** Share of the time until the deadline at which plans take their last step. */
const LAST_STEP_SHARE = 0.75;
const PAUSE_MILLISECONDS: Milliseconds = 40_000;
const PARTITION_MILLISECONDS: Milliseconds = 30_000;
const MINIMUM_DOMAINS = 3;
const MAXIMUM_DOMAINS = 4;
const MAXIMUM_SEED = 2 ** 31 - 1;
const STORE_FAULTS = { lostAnswerShare: 0.05, lateWriteShare: 0.05 };

interface ScenarioOptions {
  /** Position in the set; outages, deaths, pauses and partitions cycle with it. */
  readonly index: number;
  readonly random: Random;
  readonly fault: VersionFault;
  readonly outagePolicy: OutagePolicy;
}

function drawInstant(random: Random, span: Milliseconds): Milliseconds {
  return Math.floor(random.next() * span);
}

/**
 * Draws the start of an outage; every other one covers the last step of the plan, where it disturbs
 * the move most.
 */
function drawOutageStart(
  random: Random,
  span: Milliseconds,
  duration: Milliseconds,
  index: number,
): Milliseconds {
  const overLastSteps = span * LAST_STEP_SHARE - random.next() * duration;
  const anywhere = drawInstant(random, span);
  return Math.floor(index % 2 === 0 ? overLastSteps : anywhere);
}

function cycle<Element>(elements: readonly Element[], position: number): Element {
  return elements[position % elements.length]!;
}

/** Draws one scenario; the same random numbers give the same one under both outage policies. */
export default function drawScenario(options: ScenarioOptions): MoveScenario {
  const { index, random, fault, outagePolicy } = options;
  const span = SPANS_MILLISECONDS[random.integer(0, SPANS_MILLISECONDS.length - 1)]!;
  const failureDomains = random.integer(MINIMUM_DOMAINS, MAXIMUM_DOMAINS);
  const outage = cycle(OUTAGES_MILLISECONDS, index);
  const deaths = cycle(CONTROLLER_DEATHS, Math.floor(index / OUTAGES_MILLISECONDS.length));
  const outages: Interval[] =
    outage === 0 ? [] : [{ at: drawOutageStart(random, span, outage, index), duration: outage }];
  const controllerDeaths = Array.from({ length: deaths }, () => drawInstant(random, span));
  const pause = { at: drawInstant(random, span), duration: PAUSE_MILLISECONDS };
  const partition: DomainInterval = {
    at: drawInstant(random, span),
    duration: PARTITION_MILLISECONDS,
    domain: random.integer(0, failureDomains - 1),
  };
  const restart = {
    at: drawInstant(random, span),
    domain: random.integer(0, failureDomains - 1),
  };
  return {
    seed: random.integer(1, MAXIMUM_SEED),
    outagePolicy,
    fault,
    failureDomains,
    requestsPerSecond: REQUESTS_PER_SECOND[random.integer(0, REQUESTS_PER_SECOND.length - 1)]!,
    span,
    bakeTime: BAKE_TIME_MILLISECONDS,
    storeFaults: STORE_FAULTS,
    outages,
    controllerDeaths,
    controllerPauses: index % 2 === 0 ? [] : [pause],
    guardRestarts: [restart],
    partitions: index % 4 === 3 ? [partition] : [],
    cancelAt: [],
  };
}
