import type { BenchmarkArguments } from '../types';

/** Not built yet. */
export default async function run(options: BenchmarkArguments): Promise<unknown> {
  return { notBuilt: true, seed: options.seed };
}
