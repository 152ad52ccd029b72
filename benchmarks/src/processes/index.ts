import process from 'node:process';
import type { BenchmarkArguments } from '../types';
import runSoak from './runSoak';
import type { RunSummary } from './types';

const MILLISECONDS_PER_MINUTE = 60_000;
const PROGRAM_FILE = 'target/rattanreel.cjs';
const MAXIMUM_REPORTED_VIOLATIONS = 10;

interface ProcessSoakSummary {
  readonly seeds: number;
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  /** Runs that violated a guarantee; their logs are kept in the temporary folder. */
  readonly failed: readonly RunSummary[];
}

function sum(runs: readonly RunSummary[], field: 'sent' | 'served' | 'refused'): number {
  return runs.reduce((total, summary) => total + summary[field], 0);
}

function describeViolations({ violations }: RunSummary): string {
  return violations
    .slice(0, MAXIMUM_REPORTED_VIOLATIONS)
    .map(({ promise, detail }) => `  ${promise}: ${detail}\n`)
    .join('');
}

/**
 * Runs one seed after another with real processes until the time is up; requires `npm run build`.
 */
export default async function run(options: BenchmarkArguments): Promise<ProcessSoakSummary> {
  const endAt = Date.now() + options.minutes * MILLISECONDS_PER_MINUTE;
  const runs: RunSummary[] = [];
  do {
    const summary = await runSoak({
      seed: options.seed + runs.length,
      program: PROGRAM_FILE,
      hostCount: options.hosts,
      shape: options.stops === true ? 'stops' : 'faults',
    });
    process.stderr.write(
      `seed ${summary.seed}: ${summary.faults} faults, ${summary.sent} sent, ${summary.served} served, ` +
        `${summary.violations.length} violations\n${describeViolations(summary)}`,
    );
    runs.push(summary);
  } while (!options.quick && Date.now() < endAt);
  return {
    seeds: runs.length,
    sent: sum(runs, 'sent'),
    served: sum(runs, 'served'),
    refused: sum(runs, 'refused'),
    failed: runs
      .filter(({ violations }) => violations.length > 0)
      .map((each) => ({
        ...each,
        violations: each.violations.slice(0, MAXIMUM_REPORTED_VIOLATIONS),
      })),
  };
}
