import { createRandom } from '@rattanreel/core';
import type { OutagePolicy } from '@rattanreel/moves';
import type { BenchmarkArguments } from '../types';
import drawFault from './drawFault';
import drawScenario from './drawScenario';
import simulateMove from './simulateMove';
import summariseRuns from './summariseRuns';
import type { MoveScenario } from './types';

const GOOD_MOVES = 150;
const BAD_MOVES = 108;
const QUICK_GOOD_MOVES = 9;
const QUICK_BAD_MOVES = 12;

interface MoveSet {
  readonly seed: number;
  readonly good: number;
  readonly bad: number;
  readonly outagePolicy: OutagePolicy;
}

function drawScenarios({ seed, good, bad, outagePolicy }: MoveSet): readonly MoveScenario[] {
  // One generator draws all scenarios, because the first draws of adjacent seeds are similar.
  const random = createRandom(seed);
  return Array.from({ length: good + bad }, (_, index) => {
    const fault = index < good ? ({ kind: 'good' } as const) : drawFault(index - good, random);
    return drawScenario({ index, random, fault, outagePolicy });
  });
}

function runSet(set: MoveSet): object {
  return summariseRuns(
    drawScenarios(set).map((scenario) => ({
      fault: scenario.fault,
      run: simulateMove(scenario),
    })),
  );
}

/**
 * Measures version moves in virtual time, under both outage policies; see docs/decisions/moves.md.
 */
export default async function run(options: BenchmarkArguments): Promise<unknown> {
  const size = options.quick
    ? { good: QUICK_GOOD_MOVES, bad: QUICK_BAD_MOVES }
    : { good: GOOD_MOVES, bad: BAD_MOVES };
  const { seed } = options;
  return {
    benchmark: 'moves',
    seed,
    hold: runSet({ seed, ...size, outagePolicy: 'hold' }),
    preAuthorised: runSet({ seed, ...size, outagePolicy: 'preAuthorised' }),
  };
}
