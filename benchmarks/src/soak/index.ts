import fc from 'fast-check';
import type { BenchmarkArguments } from '../types';
import createScenarioArbitrary from './createScenarioArbitrary';
import runScenario from './runScenario';
import type { SoakCounts } from './types';

const MILLISECONDS_PER_MINUTE = 60_000;
const QUICK_RUNS = 40;
const MAXIMUM_RUNS = 1_000_000;

interface SoakSummary {
  readonly seed: number;
  readonly scenarios: number;
  readonly counts: Readonly<Partial<SoakCounts>>;
  /** The smallest scenario found that violates an invariant, with the path that replays it. */
  readonly counterexample:
    { readonly scenario: unknown; readonly path: string; readonly error: string } | undefined;
}

function addCounts(total: Record<string, number>, counts: SoakCounts): void {
  Object.entries(counts).forEach(([name, count]) => {
    total[name] = (total[name] ?? 0) + Number(count);
  });
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : JSON.stringify(error);
}

/** Runs random scenarios until the time is up or an invariant is violated. */
export default async function run(options: BenchmarkArguments): Promise<SoakSummary> {
  const total: Record<string, number> = {};
  let scenarios = 0;
  const property = fc.property(createScenarioArbitrary(), (scenario) => {
    addCounts(total, runScenario(scenario));
    scenarios += 1;
  });
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.quick ? QUICK_RUNS : MAXIMUM_RUNS,
    interruptAfterTimeLimit: options.minutes * MILLISECONDS_PER_MINUTE,
  });
  const counterexample = details.counterexample?.[0];
  return {
    seed: options.seed,
    scenarios,
    counts: total,
    counterexample: counterexample && {
      scenario: counterexample,
      path: details.counterexamplePath ?? '',
      error: describeError(details.errorInstance),
    },
  };
}
